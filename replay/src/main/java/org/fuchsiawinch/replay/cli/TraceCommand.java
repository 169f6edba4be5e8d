package org.fuchsiawinch.replay.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.apache.commons.cli.Options;
import org.fuchsiawinch.replay.generate.TraceGenerator;
import org.fuchsiawinch.replay.generate.TraceKind;
import org.fuchsiawinch.replay.trace.TraceWriter;

/** Command that writes a sample trace. Thread-safe. */
public final class TraceCommand {

    private static final String KINDS =
            TraceKind.all().stream().map(TraceKind::name).collect(Collectors.joining(", "));
    private static final Options OPTIONS = new Options()
            .addOption(Help.flag("kind", "NAME", "one of: " + KINDS))
            .addOption(Help.flag("seed", "N", "seed of all random choices; default 1"))
            .addOption(Help.flag("out", "FILE", "file to write"))
            .addOption(Help.flag("help", "print this text"));
    private static final List<String> EXAMPLES = List.of(
            "bin/fuchsiawinch-trace --kind lagilagi-festival-burst --seed 1 --out festival.jsonl",
            "bin/fuchsiawinch-trace --kind bureau-rack-lost --seed 7 --out rack.jsonl");

    /**
     * Runs the command.
     *
     * @param args command line
     * @param out standard output
     * @param err standard error, to which problems are written one per line
     * @return exit status
     */
    public ExitStatus run(String[] args, PrintStream out, PrintStream err) {
        FlagReader flags = new FlagReader(OPTIONS, args);
        if (flags.has("help")) {
            out.print(Help.text("bin/fuchsiawinch-trace --kind NAME --seed N --out FILE", OPTIONS, EXAMPLES));
            return ExitStatus.OK;
        }
        Optional<TraceKind> kind = flags.required("kind", TraceKind::byName);
        long seed = flags.optional("seed", FlagReader::wholeNumber).orElse(1L);
        Optional<String> file = flags.required("out", Optional::of);
        if (!flags.problems().isEmpty()) {
            flags.problems().forEach(err::println);
            return ExitStatus.INPUT_REFUSED;
        }
        return write(kind.get(), seed, Path.of(file.get()), err);
    }

    private static ExitStatus write(TraceKind kind, long seed, Path file, PrintStream err) {
        try {
            Files.writeString(file, new TraceWriter().write(new TraceGenerator().generate(kind, seed)));
            return ExitStatus.OK;
        } catch (IOException e) {
            err.println("event=output-failed file=" + file + " flag=--out");
            return ExitStatus.OUTPUT_FAILED;
        }
    }
}
