package org.fuchsiawinch.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

import org.fuchsiawinch.runtime.Setting;

/**
 * A command. Immutable.
 *
 * @param name words that call it
 * @param arguments names of its arguments in order; those in brackets may be left out
 * @param summary one line that says what it does
 * @param settings its settings
 * @param examples calls that work
 * @param action runs it and gives the exit status
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
     * Joins lists of settings.
     *
     * @param shared settings that several commands share
     * @param own settings of one command
     * @return all of them
     */
    static List<Setting<?>> settings(List<Setting<?>> shared, Setting<?>... own) {
        List<Setting<?>> all = new ArrayList<>(List.of(own));
        all.addAll(shared);
        return all;
    }

    /**
     * Counts the arguments that must be given.
     *
     * @return the number of names without brackets
     */
    public int requiredArguments() {
        return (int) arguments.stream().filter(name -> !name.startsWith("[")).count();
    }

    /**
     * Gives the words and arguments of a call.
     *
     * @return the usage without settings
     */
    public String usage() {
        return String.join(
                " ", Stream.concat(Stream.of(name), arguments.stream()).toList());
    }

    /**
     * Gives the summary and the examples for the help text.
     *
     * @return lines without the last line end
     */
    public String description() {
        StringBuilder text = new StringBuilder(summary).append("\n\nexamples:");
        examples.forEach(example -> text.append("\n  ").append(example));
        return text.toString();
    }
}
