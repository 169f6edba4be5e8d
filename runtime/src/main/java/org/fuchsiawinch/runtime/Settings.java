package org.fuchsiawinch.runtime;

import java.util.Map;

/** Checked values of settings. Immutable and thread-safe. */
public final class Settings {

    private final Map<String, Object> values;

    Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /**
     * Gives a value.
     *
     * @param setting a setting that was among the definitions
     * @param <T> type of the value
     * @return the value
     * @throws UndefinedSettingException if it was not among the definitions
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
