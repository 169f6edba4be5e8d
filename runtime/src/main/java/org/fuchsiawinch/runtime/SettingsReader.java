package org.fuchsiawinch.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads the settings of a program and reports all problems at once. Immutable and thread-safe. */
public final class SettingsReader {

    private static final String HELP = "help";

    private final String program;
    private final String purpose;
    private final List<Setting<?>> definitions;

    /**
     * Creates a reader.
     *
     * @param program name of the program
     * @param purpose one line of help text about what the program does
     * @param definitions all settings of the program
     */
    public SettingsReader(String program, String purpose, List<Setting<?>> definitions) {
        this.program = program;
        this.purpose = purpose;
        this.definitions = List.copyOf(definitions);
    }

    /**
     * Reads each setting from its flag, else from its environment variable, else from its default.
     *
     * @param arguments arguments of the program
     * @param environment environment variables
     * @return the values, all problems, or the help text
     */
    public SettingsResult read(String[] arguments, Map<String, String> environment) {
        List<SettingProblem> problems = new ArrayList<>();
        Optional<CommandLine> commandLine = parse(arguments, problems);
        if (commandLine.filter(parsed -> parsed.hasOption(HELP)).isPresent()) {
            return new SettingsResult.Help(helpText());
        }
        Map<String, Object> values = new HashMap<>();
        for (Setting<?> setting : definitions) {
            readSetting(setting, commandLine, environment, values, problems);
        }
        return problems.isEmpty()
                ? new SettingsResult.Valid(new Settings(values))
                : new SettingsResult.Invalid(problems);
    }

    /**
     * Returns the definitions, for the generated documentation.
     *
     * @return all settings
     */
    public List<Setting<?>> definitions() {
        return definitions;
    }

    /**
     * Returns the help text.
     *
     * @return one line for each setting, with its variable, default and bounds
     */
    public String helpText() {
        StringBuilder text = new StringBuilder("usage: " + program + " [--flag value ...]\n" + purpose + "\n\n");
        for (Setting<?> setting : definitions) {
            text.append(String.format(
                    "  --%-22s %s (%s; %s; variable %s)%n",
                    setting.flag(),
                    setting.description(),
                    setting.expected(),
                    setting.defaultText().map(value -> "default " + value).orElse("must be given"),
                    setting.environmentVariable()));
        }
        return text.append("  --help                   print this text\n").toString();
    }

    private Optional<CommandLine> parse(String[] arguments, List<SettingProblem> problems) {
        Options options = new Options();
        definitions.forEach(setting -> options.addOption(Option.builder()
                .longOpt(setting.flag())
                .hasArg()
                .desc(setting.description())
                .get()));
        options.addOption(Option.builder().longOpt(HELP).get());
        try {
            CommandLine commandLine =
                    DefaultParser.builder().setAllowPartialMatching(false).get().parse(options, arguments, true);
            commandLine.getArgList().forEach(extra -> problems.add(unexpectedArgument(extra)));
            return Optional.of(commandLine);
        } catch (MissingArgumentException e) {
            String flag = e.getOption().getLongOpt();
            problems.add(new SettingProblem(SettingProblem.Code.MALFORMED, flag, "requires a value"));
        } catch (ParseException e) {
            problems.add(new SettingProblem(SettingProblem.Code.MALFORMED, program, e.getMessage()));
        }
        return Optional.empty();
    }

    private static SettingProblem unexpectedArgument(String argument) {
        if (argument.startsWith("--")) {
            return new SettingProblem(SettingProblem.Code.UNKNOWN_FLAG, argument.substring(2), "no such flag");
        }
        return new SettingProblem(SettingProblem.Code.MALFORMED, argument, "argument does not follow a flag");
    }

    private static void readSetting(
            Setting<?> setting,
            Optional<CommandLine> commandLine,
            Map<String, String> environment,
            Map<String, Object> values,
            List<SettingProblem> problems) {
        Optional<String> text = commandLine
                .map(parsed -> parsed.getOptionValue(setting.flag()))
                .or(() -> Optional.ofNullable(environment.get(setting.environmentVariable())))
                .or(setting::defaultText);
        if (text.isEmpty()) {
            problems.add(new SettingProblem(SettingProblem.Code.MISSING, setting.flag(), "give " + setting.expected()));
            return;
        }
        Optional<?> value = setting.parser().apply(text.get());
        if (value.isEmpty()) {
            problems.add(new SettingProblem(
                    SettingProblem.Code.INVALID, setting.flag(), "'" + text.get() + "' is not " + setting.expected()));
            return;
        }
        values.put(setting.flag(), value.get());
    }
}
