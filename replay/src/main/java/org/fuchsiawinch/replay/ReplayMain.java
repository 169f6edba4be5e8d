package org.fuchsiawinch.replay;

import org.fuchsiawinch.replay.cli.ReplayCommand;

/** Entry point of {@code bin/fuchsiawinch-replay}. */
public final class ReplayMain {

    private ReplayMain() {}

    /**
     * Replays a trace and exits with the code of an {@link org.fuchsiawinch.replay.cli.ExitStatus}.
     *
     * @param args command line
     */
    public static void main(String[] args) {
        System.exit(new ReplayCommand().run(args, System.out, System.err).code());
    }
}
