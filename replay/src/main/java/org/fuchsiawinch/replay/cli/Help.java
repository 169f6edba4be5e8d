package org.fuchsiawinch.replay.cli;

import java.util.List;

import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Formats the help text of a binary. Stateless. */
final class Help {

    private static final int FLAG_COLUMN_CHARS = 24;

    private Help() {}

    static String text(String usage, Options options, List<String> examples) {
        StringBuilder text = new StringBuilder("Usage: " + usage + "\n\nFlags:\n");
        for (Option option : options.getOptions()) {
            String flag = "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
            text.append(String.format("  %-" + FLAG_COLUMN_CHARS + "s %s%n", flag, option.getDescription()));
        }
        text.append("\nExamples:\n");
        examples.forEach(example -> text.append("  ").append(example).append('\n'));
        text.append("\nExit status: 0 done, 1 target missed, 2 command line or input refused, 3 output failed.\n");
        return text.toString();
    }

    static Option flag(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }
}
