package org.fuchsiawinch.replay.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses flags and collects all problems, each with the name of its flag. Not thread-safe. */
final class FlagReader {

    private final List<FlagProblem> problems = new ArrayList<>();
    private final Optional<CommandLine> line;

    /** Kinds of flag problems. */
    enum FlagFault {
        /** A required flag is missing. */
        MISSING,
        /** The flag has no value. */
        VALUE_MISSING,
        /** The value is malformed or not one of those allowed. */
        VALUE_INVALID,
        /** The flag is unknown. */
        UNKNOWN
    }

    /**
     * Problem with one flag.
     *
     * @param flag the flag as on the command line
     * @param fault kind of the problem
     */
    record FlagProblem(String flag, FlagFault fault) {

        @Override
        public String toString() {
            return "event=flag-refused flag=" + flag + " code=" + fault;
        }
    }

    FlagReader(Options options, String[] args) {
        line = parse(options, args);
    }

    boolean has(String flag) {
        return line.isPresent() && line.get().hasOption(flag);
    }

    <T> Optional<T> required(String flag, Function<String, Optional<T>> reader) {
        if (line.isPresent() && !has(flag)) {
            problems.add(new FlagProblem("--" + flag, FlagFault.MISSING));
        }
        return optional(flag, reader);
    }

    <T> Optional<T> optional(String flag, Function<String, Optional<T>> reader) {
        if (!has(flag)) {
            return Optional.empty();
        }
        Optional<T> value = reader.apply(line.get().getOptionValue(flag));
        if (value.isEmpty()) {
            problems.add(new FlagProblem("--" + flag, FlagFault.VALUE_INVALID));
        }
        return value;
    }

    static Optional<Long> wholeNumber(String text) {
        try {
            return Optional.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    List<FlagProblem> problems() {
        return List.copyOf(problems);
    }

    private Optional<CommandLine> parse(Options options, String[] args) {
        List<String> known = new ArrayList<>();
        for (int index = 0; index < args.length; index++) {
            String flag = args[index].split("=", 2)[0];
            if (flag.startsWith("--") && options.hasLongOption(flag.substring(2))) {
                known.add(args[index]);
                boolean separate = options.getOption(flag).hasArg() && !args[index].contains("=");
                if (separate && index + 1 < args.length) {
                    known.add(args[++index]);
                }
            } else {
                problems.add(new FlagProblem(flag, FlagFault.UNKNOWN));
            }
        }
        try {
            return Optional.of(new DefaultParser().parse(options, known.toArray(new String[0])));
        } catch (MissingArgumentException e) {
            problems.add(new FlagProblem("--" + e.getOption().getLongOpt(), FlagFault.VALUE_MISSING));
        } catch (ParseException e) {
            problems.add(new FlagProblem(String.join(" ", known), FlagFault.VALUE_INVALID));
        }
        return Optional.empty();
    }
}
