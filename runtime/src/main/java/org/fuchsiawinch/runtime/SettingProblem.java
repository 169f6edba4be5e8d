package org.fuchsiawinch.runtime;

/**
 * Problem of one setting.
 *
 * @param code kind of problem
 * @param flag flag of the setting, without dashes
 * @param detail what is wrong or what is expected
 */
public record SettingProblem(Code code, String flag, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** A required setting is not given. */
        MISSING,
        /** The value is not valid. */
        INVALID,
        /** The program has no such flag. */
        UNKNOWN_FLAG,
        /** A flag has no value, or an argument belongs to no flag. */
        MALFORMED
    }

    @Override
    public String toString() {
        return "--" + flag + ": " + code + ": " + detail;
    }
}
