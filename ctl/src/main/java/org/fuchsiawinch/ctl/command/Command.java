package org.fuchsiawinch.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

import org.fuchsiawinch.runtime.Setting;

/**
 * Command of {@code fuchsiawinch-ctl}: name, arguments, settings, help and the function that runs it. Immutable.
 *
 * @param name one or two words that select the command, separated by a space
 * @param arguments names of its positional arguments in order; names in brackets are optional
 * @param summary one-line description for the help text
 * @param settings settings that it reads, each with a flag
 * @param examples complete command lines for the help text
 * @param action runs the command and returns the exit status
 */
public record Command(
        String name,
        List<String> arguments,
        String summary,
        List<Setting<?>> settings,
        List<String> examples,
        ToIntFunction<Invocation> action) {

    /** Copies the lists. */
    public Command {
        arguments = List.copyOf(arguments);
        settings = List.copyOf(settings);
        examples = List.copyOf(examples);
    }

    /**
     * Returns a command's own settings followed by the shared ones.
     *
     * @param shared settings that several commands share
     * @param own settings of one command
     * @return all settings of the command
     */
    static List<Setting<?>> settings(List<Setting<?>> shared, Setting<?>... own) {
        List<Setting<?>> all = new ArrayList<>(List.of(own));
        all.addAll(shared);
        return all;
    }

    /**
     * Returns the number of required arguments.
     *
     * @return the number of argument names without brackets
     */
    public int requiredArguments() {
        return (int) arguments.stream().filter(name -> !name.startsWith("[")).count();
    }

    /**
     * Returns the command's name and arguments.
     *
     * @return usage line without flags
     */
    public String usage() {
        return String.join(
                " ", Stream.concat(Stream.of(name), arguments.stream()).toList());
    }

    /**
     * Returns the summary and examples for the help text.
     *
     * @return text without a trailing line break
     */
    public String description() {
        StringBuilder text = new StringBuilder(summary).append("\n\nexamples:");
        examples.forEach(example -> text.append("\n  ").append(example));
        return text.toString();
    }
}
