package org.fuchsiawinch.replay.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.apache.commons.cli.Options;
import org.fuchsiawinch.replay.LoadResult;
import org.fuchsiawinch.replay.ReplayInput;
import org.fuchsiawinch.replay.ReplayLoader;
import org.fuchsiawinch.replay.ReplayProblem;
import org.fuchsiawinch.replay.ReplayResult;
import org.fuchsiawinch.replay.ReplayRunner;
import org.fuchsiawinch.replay.SchedulingPolicy;
import org.fuchsiawinch.replay.measure.LowerBounds;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.outcome.Outcome;
import org.fuchsiawinch.replay.outcome.OutcomeReadResult;
import org.fuchsiawinch.replay.outcome.OutcomeReader;
import org.fuchsiawinch.replay.outcome.Target;

/**
 * Command that replays a trace and prints its measures, or compares them with the targets of an outcome file.
 * Thread-safe.
 */
public final class ReplayCommand {

    private static final String POLICIES = Arrays.stream(SchedulingPolicy.values())
            .map(SchedulingPolicy::label)
            .collect(Collectors.joining(", "));
    private static final Options OPTIONS = new Options()
            .addOption(Help.flag("trace", "FILE", "trace in JSON Lines, see docs/TRACES.md"))
            .addOption(Help.flag("document", "FILE", "document in force from the start"))
            .addOption(Help.flag("policy", "NAME", "one of: " + POLICIES + "; default guarantee"))
            .addOption(Help.flag("seed", "N", "seed of the protocol delays; default 1"))
            .addOption(Help.flag("format", "FORMAT", "json or table; default table"))
            .addOption(Help.flag("outcome", "FILE", "judge against a stated outcome, which names trace and document"))
            .addOption(Help.flag("violations", "print each broken promise of the policy on standard error"))
            .addOption(Help.flag("help", "print this text"));
    private static final String USAGE = "bin/fuchsiawinch-replay --trace FILE --document FILE [--policy NAME] "
            + "[--seed N] [--format json|table]\n       bin/fuchsiawinch-replay --outcome FILE [--policy NAME]";
    private static final List<String> EXAMPLES = List.of(
            "bin/fuchsiawinch-replay --trace samples/traces/lagilagi-festival-burst.jsonl"
                    + " --document samples/lagilagi/document.yaml --policy guarantee --seed 1 --format table",
            "bin/fuchsiawinch-replay --outcome samples/traces/bureau-rack-lost.outcome.yaml");

    private final ObjectMapper json =
            new ObjectMapper().registerModule(new Jdk8Module()).enable(SerializationFeature.INDENT_OUTPUT);
    private final ReplayRunner runner = new ReplayRunner();

    /** Output formats of the measures. */
    private enum Format {
        JSON,
        TABLE;

        private static Optional<Format> byLabel(String label) {
            return Arrays.stream(values())
                    .filter(format -> format.name().equalsIgnoreCase(label))
                    .findFirst();
        }
    }

    private record ReplayOptions(
            Path trace, Path document, SchedulingPolicy policy, long seed, Format format, List<Target> targets) {}

    /**
     * Runs the command.
     *
     * @param args command line
     * @param out standard output
     * @param err standard error
     * @return exit status
     */
    public ExitStatus run(String[] args, PrintStream out, PrintStream err) {
        FlagReader flags = new FlagReader(OPTIONS, args);
        if (flags.has("help")) {
            out.print(Help.text(USAGE, OPTIONS, EXAMPLES));
            return ExitStatus.OK;
        }
        Optional<ReplayOptions> options = flags.has("outcome") ? readOutcome(flags, err) : readFlags(flags);
        if (!flags.problems().isEmpty() || options.isEmpty()) {
            flags.problems().forEach(err::println);
            return ExitStatus.INPUT_REFUSED;
        }
        LoadResult loaded =
                new ReplayLoader().load(options.get().trace(), options.get().document());
        if (loaded instanceof LoadResult.Refused refused) {
            refused.problems().forEach(err::println);
            return ExitStatus.INPUT_REFUSED;
        }
        return replay(options.get(), ((LoadResult.Loaded) loaded).input(), flags.has("violations"), out, err);
    }

    private static Optional<ReplayOptions> readFlags(FlagReader flags) {
        Optional<Path> trace = flags.required("trace", file -> Optional.of(Path.of(file)));
        Optional<Path> document = flags.required("document", file -> Optional.of(Path.of(file)));
        Optional<SchedulingPolicy> policy = flags.optional("policy", SchedulingPolicy::byLabel);
        Optional<Long> seed = flags.optional("seed", FlagReader::wholeNumber);
        Optional<Format> format = flags.optional("format", Format::byLabel);
        if (trace.isEmpty() || document.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new ReplayOptions(
                trace.get(),
                document.get(),
                policy.orElse(SchedulingPolicy.GUARANTEE),
                seed.orElse(1L),
                format.orElse(Format.TABLE),
                List.of()));
    }

    private static Optional<ReplayOptions> readOutcome(FlagReader flags, PrintStream err) {
        Path file = Path.of(flags.required("outcome", Optional::of).orElse(""));
        SchedulingPolicy policy =
                flags.optional("policy", SchedulingPolicy::byLabel).orElse(SchedulingPolicy.GUARANTEE);
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            err.println(new ReplayProblem(file.toString(), 0, "", "FILE_UNREADABLE"));
            return Optional.empty();
        }
        OutcomeReadResult result = new OutcomeReader().read(text);
        if (result instanceof OutcomeReadResult.Rejected rejected) {
            rejected.problems()
                    .forEach(problem -> err.println(new ReplayProblem(
                            file.toString(),
                            problem.line(),
                            problem.field(),
                            problem.fault().name())));
            return Optional.empty();
        }
        Outcome outcome = ((OutcomeReadResult.Accepted) result).outcome();
        return Optional.of(new ReplayOptions(
                file.resolveSibling(outcome.trace()),
                file.resolveSibling(outcome.document()),
                policy,
                outcome.seed(),
                Format.TABLE,
                outcome.targets()));
    }

    private ExitStatus replay(
            ReplayOptions options, ReplayInput input, boolean violations, PrintStream out, PrintStream err) {
        ReplayResult result = runner.run(input, options.policy(), options.seed());
        if (violations) {
            result.violations().forEach(err::println);
        }
        if (options.format() == Format.JSON) {
            out.println(toJson(result));
            return ExitStatus.OK;
        }
        List<Measures> baselines = new ArrayList<>();
        for (SchedulingPolicy policy : SchedulingPolicy.baselines()) {
            if (policy != options.policy()) {
                baselines.add(runner.run(input, policy, options.seed()).measures());
            }
        }
        List<Measures> all = new ArrayList<>(List.of(result.measures()));
        all.addAll(baselines);
        out.print(ResultPrinter.table(result.trace(), all));
        LowerBounds bounds = LowerBounds.of(input.trace());
        boolean met = true;
        for (Target target : options.targets()) {
            Target.Verdict verdict = target.evaluate(result.measures(), baselines, bounds);
            out.println(ResultPrinter.verdict(verdict));
            met &= verdict.met();
        }
        return met ? ExitStatus.OK : ExitStatus.TARGET_MISSED;
    }

    private String toJson(ReplayResult result) {
        try {
            return json.writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the result of trace " + result.trace() + " as JSON", e);
        }
    }
}
