package org.fuchsiawinch.runtime;

/**
 * One thing that is wrong with the settings.
 *
 * @param code what is wrong
 * @param flag the flag concerned, without dashes
 * @param detail what would be right
 */
public record SettingProblem(Code code, String flag, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** A setting without a default is not given. */
        MISSING,
        /** The text is not valid. */
        INVALID,
        /** There is no such flag. */
        UNKNOWN_FLAG,
        /** A flag stands without its value, or an argument without a flag. */
        MALFORMED
    }

    @Override
    public String toString() {
        return "--" + flag + ": " + code + ": " + detail;
    }
}
