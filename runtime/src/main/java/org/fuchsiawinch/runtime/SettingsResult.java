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
     * At least one setting is not valid.
     *
     * @param problems all problems; never empty
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
     * Help was requested.
     *
     * @param text the help text
     */
    record Help(String text) implements SettingsResult {}
}
