package org.fuchsiawinch.golden;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.runtime.Program;

/** Compares the transcripts of the golden sessions with their files, or rewrites the files. */
public final class GoldenMain {

    private static final String USAGE = "usage: golden [--write]";

    private final SampleFiles samples;
    private final PrintStream out;

    GoldenMain(SampleFiles samples, PrintStream out) {
        this.samples = samples;
        this.out = out;
    }

    /**
     * Runs all sessions in the working folder, which must contain {@code samples}. Exits with status 0 if all files and
     * expectations match, 1 if a file differs or an expectation is not met, and 2 on invalid arguments or unreadable
     * samples.
     *
     * @param arguments empty to compare, {@code --write} to rewrite the files
     */
    public static void main(String[] arguments) {
        List<String> flags = List.of(arguments);
        if (!flags.isEmpty() && !flags.equals(List.of("--write"))) {
            System.err.println(USAGE);
            System.exit(Program.EXIT_USAGE);
        }
        GoldenMain golden = new GoldenMain(new SampleFiles(Path.of("samples")), System.out);
        System.exit(golden.runReportingSampleErrors(Sessions.all(), !flags.isEmpty()));
    }

    /**
     * Does the same as {@link #run}, but prints the message of a {@link SampleFileException} and returns
     * {@link Program#EXIT_USAGE} instead of throwing it.
     */
    int runReportingSampleErrors(List<Session> sessions, boolean write) {
        try {
            return run(sessions, write);
        } catch (SampleFileException e) {
            out.println(e.getMessage());
            return Program.EXIT_USAGE;
        }
    }

    /** Compares or writes the sessions and returns the exit status. */
    int run(List<Session> sessions, boolean write) {
        boolean failed = false;
        for (Session session : sessions) {
            SessionResult result = new SessionRunner(session, samples).run();
            if (write) {
                samples.write(session.name(), result.transcript());
            }
            Optional<String> difference =
                    TextDiff.between(session.name(), samples.transcript(session.name()), result.transcript());
            difference.ifPresent(out::println);
            result.unmet().forEach(out::println);
            boolean asExpected = difference.isEmpty() && result.unmet().isEmpty();
            out.println("session=" + session.name() + " lines="
                    + result.transcript().lines().count() + " as-expected=" + asExpected);
            failed |= !asExpected;
        }
        return failed ? Program.EXIT_FAILED : Program.EXIT_OK;
    }
}
