package org.fuchsiawinch.ctl.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands that show the fleet and its jobs or drain a node. Stateless. */
public final class FleetCommands {

    private FleetCommands() {}

    /**
     * Returns the commands.
     *
     * @return the commands in the order of the help text
     */
    public static List<Command> all() {
        return List.of(
                listCommand("workspaces", "Shows each workspace with its guarantees, usage, queue and spending."),
                listCommand("jobs", "Shows waiting and running jobs."),
                listCommand("workers", "Shows each worker with its state and free resources."),
                listCommand("nodes", "Shows each node with its roles and its document version in force."),
                new Command(
                        "explain",
                        List.of("JOB"),
                        "Shows why a job waits or where and why it ran, what it needs to start, and its cost.",
                        CommonSettings.ONLINE,
                        List.of("fuchsiawinch-ctl explain plans-17", "fuchsiawinch-ctl explain plans-17 --output json"),
                        FleetCommands::explain),
                new Command(
                        "drain",
                        List.of(),
                        "Makes the node hand over its work, finish its open requests and exit.",
                        CommonSettings.ONLINE,
                        List.of("fuchsiawinch-ctl drain --node http://127.0.0.1:8081"),
                        FleetCommands::drain));
    }

    private static Command listCommand(String name, String summary) {
        return new Command(
                name,
                List.of(),
                summary,
                CommonSettings.ONLINE,
                List.of("fuchsiawinch-ctl " + name, "fuchsiawinch-ctl " + name + " --output json"),
                invocation -> ReplyPrinter.print(invocation.api().read("/v1/" + name), invocation));
    }

    private static int explain(Invocation invocation) {
        String job = URLEncoder.encode(invocation.arguments().get(0), StandardCharsets.UTF_8);
        return ReplyPrinter.print(invocation.api().read("/v1/jobs/" + job + "/explain"), invocation);
    }

    private static int drain(Invocation invocation) {
        ObjectNode noParameters = JsonNodeFactory.instance.objectNode();
        return ReplyPrinter.print(invocation.api().send("/v1/drain", noParameters), invocation);
    }
}
