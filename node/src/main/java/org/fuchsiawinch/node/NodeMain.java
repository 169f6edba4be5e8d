package org.fuchsiawinch.node;

import java.util.Optional;

import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.SettingProblem;
import org.fuchsiawinch.runtime.Settings;
import reactor.netty.ChannelBindException;

/** Runs one node until it is drained. */
public final class NodeMain {

    private NodeMain() {}

    /**
     * Starts the process.
     *
     * @param arguments command-line flags
     */
    public static void main(String[] arguments) {
        int status = Program.run(NodeFlags.reader(), arguments, System.out, System.err, NodeMain::serve);
        System.exit(status);
    }

    private static int serve(Settings settings) {
        Optional<SettingProblem> problem = NodeFlags.check(settings);
        if (problem.isPresent()) {
            System.err.println(problem.get());
            return Program.EXIT_USAGE;
        }
        NodeProcess node = new NodeProcess(settings, System.currentTimeMillis());
        // before the start, as callers may connect before it returns
        Runtime.getRuntime().addShutdownHook(new Thread(node::drainAndStop, "drain"));
        try {
            node.start();
        } catch (ChannelBindException e) {
            System.err.println(e.getMessage());
            return Program.EXIT_FAILED;
        }
        try {
            node.awaitDrained();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return Program.EXIT_OK;
    }
}
