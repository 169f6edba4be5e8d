package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.stream.Stream;

/** Registry of all commands. Stateless. */
public final class Commands {

    private Commands() {}

    /**
     * Returns all commands.
     *
     * @return the document commands, then the fleet commands
     */
    public static List<Command> all() {
        return Stream.of(
                        DocumentCommands.all(),
                        List.of(PlanCommand.command(), ProposeCommand.command(), RulesCommands.check()),
                        FleetCommands.all())
                .flatMap(List::stream)
                .toList();
    }
}
