package org.fuchsiawinch.runtime;

import java.io.PrintStream;
import java.util.function.ToIntFunction;

/** Runs the main function of a binary: reads settings, prints problems or help, and gives the exit status. */
public final class Program {

    /** Exit status of success. */
    public static final int EXIT_OK = 0;

    /** Exit status of a refused or failed request. */
    public static final int EXIT_FAILED = 1;

    /** Exit status of wrong settings or unreadable input. */
    public static final int EXIT_USAGE = 2;

    private Program() {}

    /**
     * Reads the settings and runs the body.
     *
     * @param reader the program's settings
     * @param arguments arguments of the program
     * @param out takes the help text
     * @param err takes the problems
     * @param body gives the exit status
     * @return the exit status
     */
    public static int run(
            SettingsReader reader, String[] arguments, PrintStream out, PrintStream err, ToIntFunction<Settings> body) {
        SettingsResult result = reader.read(arguments, System.getenv());
        if (result instanceof SettingsResult.Help help) {
            out.print(help.text());
            return EXIT_OK;
        }
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.problems().forEach(err::println);
            return EXIT_USAGE;
        }
        return body.applyAsInt(((SettingsResult.Valid) result).settings());
    }
}
