package org.fuchsiawinch.replay;

import org.fuchsiawinch.replay.cli.ReplayCommand;

/** Entry point of {@code bin/fuchsiawinch-replay}. */
public final class ReplayMain {

    private ReplayMain() {}

    /**
     * Replays a trace.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        System.exit(new ReplayCommand().run(args, System.out, System.err).code());
    }
}
