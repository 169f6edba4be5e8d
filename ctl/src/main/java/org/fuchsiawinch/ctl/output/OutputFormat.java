package org.fuchsiawinch.ctl.output;

/** Output format of a command. */
public enum OutputFormat {
    /** Text tables. */
    TABLE,
    /** Indented JSON. */
    JSON
}
