package org.fuchsiawinch.ctl.command;

/**
 * One thing that is wrong with the arguments of a command.
 *
 * @param code what is wrong
 * @param argument the argument concerned
 * @param detail what would be right
 */
public record ArgumentProblem(Code code, String argument, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** There is no such command. */
        UNKNOWN_COMMAND,
        /** An argument is not given. */
        MISSING,
        /** The command takes no such argument. */
        UNEXPECTED,
        /** The argument is not valid. */
        INVALID
    }

    @Override
    public String toString() {
        return argument + ": " + code + ": " + detail;
    }
}
