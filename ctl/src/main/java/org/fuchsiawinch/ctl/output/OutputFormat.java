package org.fuchsiawinch.ctl.output;

/** Form of a command's output. */
public enum OutputFormat {
    /** Tables for people. */
    TABLE,
    /** JSON for programs. */
    JSON
}
