package org.fuchsiawinch.runtime;

import java.util.Map;

/** Valid values of a program's settings. Immutable and thread-safe. */
public final class Settings {

    private final Map<String, Object> values;

    Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /**
     * Returns the value of a setting.
     *
     * @param setting one of the settings that the program defines
     * @param <T> type of the value
     * @return the value
     * @throws UndefinedSettingException if the program does not define the setting
     */
    @SuppressWarnings("unchecked")
    public <T> T value(Setting<T> setting) {
        Object value = values.get(setting.flag());
        if (value == null) {
            throw new UndefinedSettingException(setting.flag());
        }
        return (T) value;
    }
}
