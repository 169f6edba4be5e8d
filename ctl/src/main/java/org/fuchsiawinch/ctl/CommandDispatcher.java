package org.fuchsiawinch.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.ctl.command.ArgumentProblem;
import org.fuchsiawinch.ctl.command.Command;
import org.fuchsiawinch.ctl.command.Console;
import org.fuchsiawinch.ctl.command.Invocation;
import org.fuchsiawinch.ctl.command.UnreadableFileException;
import org.fuchsiawinch.ctl.output.TextTable;
import org.fuchsiawinch.document.ledger.UnreadableKeyException;
import org.fuchsiawinch.model.FuchsiawinchException;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;
import org.fuchsiawinch.runtime.SettingsResult;

/** Selects the command that the arguments name, validates its arguments and settings, and runs it. Immutable. */
public final class CommandDispatcher {

    private static final String PROGRAM = "fuchsiawinch-ctl";
    private static final String HELP_FLAG = "--help";

    private final List<Command> commands;
    private final Function<Settings, ControlApi> apiFactory;
    private final Map<String, String> environment;

    /**
     * Creates the dispatcher.
     *
     * @param commands all commands
     * @param apiFactory creates a client of the node that the settings name
     * @param environment environment variables
     */
    public CommandDispatcher(
            List<Command> commands, Function<Settings, ControlApi> apiFactory, Map<String, String> environment) {
        this.commands = List.copyOf(commands);
        this.apiFactory = apiFactory;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments arguments of the program
     * @param console output streams of the command
     * @return one of the exit statuses of {@link Program}
     */
    public int run(String[] arguments, Console console) {
        if (arguments.length == 0 || arguments[0].equals("help") || arguments[0].equals(HELP_FLAG)) {
            console.out().print(overview());
            return arguments.length == 0 ? Program.EXIT_USAGE : Program.EXIT_OK;
        }
        Optional<Command> command = find(arguments);
        if (command.isEmpty()) {
            String commandLine = String.join(" ", arguments);
            console.err()
                    .println(new ArgumentProblem(
                            ArgumentProblem.Code.UNKNOWN_COMMAND, commandLine, "see " + PROGRAM + " " + HELP_FLAG));
            return Program.EXIT_USAGE;
        }
        int nameLength = command.get().name().split(" ").length;
        return run(command.get(), List.of(arguments).subList(nameLength, arguments.length), console);
    }

    private int run(Command command, List<String> remaining, Console console) {
        ParsedArguments parsed = ParsedArguments.of(remaining);
        SettingsReader reader =
                new SettingsReader(PROGRAM + " " + command.usage(), command.description(), command.settings());
        SettingsResult result = reader.read(parsed.flags().toArray(String[]::new), environment);
        if (result instanceof SettingsResult.Help help) {
            console.out().print(help.text());
            return Program.EXIT_OK;
        }
        List<ArgumentProblem> problems = argumentProblems(command, parsed.arguments());
        problems.forEach(console.err()::println);
        if (result instanceof SettingsResult.Invalid invalid) {
            invalid.problems().forEach(console.err()::println);
            return Program.EXIT_USAGE;
        }
        if (!problems.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        return execute(command, parsed.arguments(), ((SettingsResult.Valid) result).settings(), console);
    }

    private int execute(Command command, List<String> arguments, Settings settings, Console console) {
        try {
            return command.action()
                    .applyAsInt(new Invocation(arguments, settings, () -> apiFactory.apply(settings), console));
        } catch (UnreadableKeyException | UnreadableFileException e) {
            console.err().println(e.getMessage());
            return Program.EXIT_USAGE;
        } catch (FuchsiawinchException e) {
            console.err().println(e.getMessage());
            return Program.EXIT_FAILED;
        }
    }

    private Optional<Command> find(String[] arguments) {
        String oneWord = arguments[0];
        String twoWords = arguments.length > 1 ? oneWord + " " + arguments[1] : oneWord;
        return commands.stream()
                .filter(command ->
                        command.name().equals(oneWord) || command.name().equals(twoWords))
                .findFirst();
    }

    private static List<ArgumentProblem> argumentProblems(Command command, List<String> arguments) {
        List<ArgumentProblem> problems = new ArrayList<>();
        for (int i = arguments.size(); i < command.requiredArguments(); i++) {
            problems.add(new ArgumentProblem(
                    ArgumentProblem.Code.MISSING, command.arguments().get(i), "usage: " + command.usage()));
        }
        arguments.stream()
                .skip(command.arguments().size())
                .map(extra -> new ArgumentProblem(ArgumentProblem.Code.UNEXPECTED, extra, "usage: " + command.usage()))
                .forEach(problems::add);
        return problems;
    }

    private String overview() {
        List<List<String>> rows = commands.stream()
                .sorted(Comparator.comparing(Command::name))
                .map(command -> List.of("  " + command.usage(), command.summary()))
                .toList();
        return "usage: " + PROGRAM + " COMMAND [ARGUMENT ...] [--flag value ...]\n\n"
                + TextTable.withoutHeader(rows)
                + "\n" + PROGRAM + " COMMAND --help shows flags and examples.\n"
                + "exit status: 0 done, 1 refused or failed, 2 wrong usage or unreadable input\n";
    }

    /** Positional arguments and flags of a command line. Each flag except {@code --help} has one value. */
    private record ParsedArguments(List<String> arguments, List<String> flags) {

        static ParsedArguments of(List<String> remaining) {
            List<String> arguments = new ArrayList<>();
            List<String> flags = new ArrayList<>();
            boolean valueExpected = false;
            for (String word : remaining) {
                boolean flag = word.startsWith("--");
                (flag || valueExpected ? flags : arguments).add(word);
                valueExpected = flag && !word.equals(HELP_FLAG) && !word.contains("=");
            }
            return new ParsedArguments(List.copyOf(arguments), List.copyOf(flags));
        }
    }
}
