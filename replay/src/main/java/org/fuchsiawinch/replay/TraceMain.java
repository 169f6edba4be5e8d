package org.fuchsiawinch.replay;

import org.fuchsiawinch.replay.cli.TraceCommand;

/** Entry point of {@code bin/fuchsiawinch-trace}. */
public final class TraceMain {

    private TraceMain() {}

    /**
     * Writes a sample trace.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        System.exit(new TraceCommand().run(args, System.out, System.err).code());
    }
}
