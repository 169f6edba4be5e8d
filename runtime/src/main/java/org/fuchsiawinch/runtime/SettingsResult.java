package org.fuchsiawinch.runtime;

import java.util.List;

/** Result of reading settings. */
public sealed interface SettingsResult {

    /**
     * All settings are valid.
     *
     * @param settings the values
     */
    record Valid(Settings settings) implements SettingsResult {}

    /**
     * Some settings are not valid.
     *
     * @param problems all of the problems
     */
    record Invalid(List<SettingProblem> problems) implements SettingsResult {

        /**
         * Copies the list.
         */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * Help was asked for.
     *
     * @param text the help text
     */
    record Help(String text) implements SettingsResult {}
}
