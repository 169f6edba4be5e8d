package org.fuchsiawinch.replay;

import org.fuchsiawinch.replay.cli.TraceCommand;

/** Entry point of {@code bin/fuchsiawinch-trace}. */
public final class TraceMain {

    private TraceMain() {}

    /**
     * Writes a sample trace and exits with the code of an {@link org.fuchsiawinch.replay.cli.ExitStatus}.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        System.exit(new TraceCommand().run(args, System.out, System.err).code());
    }
}
