package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.stream.Stream;

/** All commands. Stateless. */
public final class Commands {

    private Commands() {}

    /**
     * Lists the commands.
     *
     * @return the commands of documents, then those of the fleet
     */
    public static List<Command> all() {
        return Stream.of(
                        DocumentCommands.all(),
                        List.of(PlanCommand.command(), ProposeCommand.command()),
                        FleetCommands.all())
                .flatMap(List::stream)
                .toList();
    }
}
