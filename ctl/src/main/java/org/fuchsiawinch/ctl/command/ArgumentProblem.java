package org.fuchsiawinch.ctl.command;

/**
 * Problem with the command name or an argument of a command.
 *
 * @param code kind of the problem
 * @param argument the argument at fault
 * @param detail what is expected
 */
public record ArgumentProblem(Code code, String argument, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** No command has this name. */
        UNKNOWN_COMMAND,
        /** A required argument is missing. */
        MISSING,
        /** The command has more arguments than it accepts. */
        UNEXPECTED,
        /** The value of the argument is invalid. */
        INVALID
    }

    @Override
    public String toString() {
        return argument + ": " + code + ": " + detail;
    }
}
