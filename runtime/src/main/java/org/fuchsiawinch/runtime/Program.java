package org.fuchsiawinch.runtime;

import java.io.PrintStream;
import java.util.function.ToIntFunction;

/** Runs the main function of a binary: reads settings, prints problems or help, and returns the exit status. */
public final class Program {

    /** Exit status of success. */
    public static final int EXIT_OK = 0;

    /** Exit status of a refused or failed request. */
    public static final int EXIT_FAILED = 1;

    /** Exit status of invalid settings or unreadable input. */
    public static final int EXIT_USAGE = 2;

    private Program() {}

    /**
     * Reads the settings and runs the body. Prints the help text or the problems instead if there are any.
     *
     * @param reader the program's settings
     * @param arguments arguments of the program
     * @param out receives the help text
     * @param err receives the problems
     * @param body main function, which returns the exit status
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
