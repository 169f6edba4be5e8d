package org.fuchsiawinch.report;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.replay.LoadResult;
import org.fuchsiawinch.replay.ReplayInput;
import org.fuchsiawinch.replay.ReplayLoader;
import org.fuchsiawinch.replay.SchedulingPolicy;
import org.fuchsiawinch.report.burn.BurnCalculator;
import org.fuchsiawinch.report.records.Records;
import org.fuchsiawinch.report.records.RecordsReader;
import org.fuchsiawinch.report.records.RecordsResult;
import org.fuchsiawinch.report.render.ReportFormat;
import org.fuchsiawinch.report.replay.ReplayRecords;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.SettingProblem;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;

/** Command that reports the burn of error budgets and spending limits, computed from records and the document. */
public final class ReportMain {

    /** File of records to report on; {@code -} for standard input, empty if a trace is replayed. */
    public static final Setting<String> RECORDS = Setting.optionalText(
            "records", "file of records, one JSON object a line; - for standard input; or give a trace");

    /** File of a trace to replay; empty if records are read. */
    public static final Setting<String> TRACE = Setting.optionalText("trace", "trace that is replayed for its records");

    /** Scheduler that replays the trace. */
    public static final Setting<SchedulingPolicy> POLICY = new Setting<>(
            "policy",
            "scheduler that replays the trace",
            Optional.of(SchedulingPolicy.GUARANTEE.label()),
            SchedulingPolicy::byLabel,
            "one of "
                    + Arrays.stream(SchedulingPolicy.values())
                            .map(SchedulingPolicy::label)
                            .collect(Collectors.joining(", ")));

    /** Seed of the replay. */
    public static final Setting<Long> SEED =
            Setting.number("seed", "seed of the replay", 0, Long.MAX_VALUE).withDefault("1");

    /** File of the document. */
    public static final Setting<String> DOCUMENT =
            Setting.text("document", "document with service levels and spending limits, YAML");

    /** Format of the report. */
    public static final Setting<ReportFormat> FORMAT =
            Setting.choice("format", "format of the report", ReportFormat.class).withDefault("text");

    /** File to write the report to; {@code -} for standard output. */
    public static final Setting<String> OUTPUT = Setting.text(
                    "output", "file that takes the report; - for standard output")
            .withDefault("-");

    /** Time of the report, in ms since the Unix epoch; empty for the latest time in the records. */
    public static final Setting<OptionalLong> AT = new Setting<>(
            "at",
            "moment of the report, in ms since the epoch",
            Optional.of("latest"),
            ReportMain::parseTime,
            "a whole number, or latest for the latest time in the records");

    private static final String STANDARD_STREAM = "-";

    private ReportMain() {}

    /**
     * Runs the command and exits with its status.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        // Plots are drawn without a display.
        System.setProperty("java.awt.headless", "true");
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs the command.
     *
     * @param arguments the command line
     * @param out receives the report or the help text
     * @param err receives the problems
     * @return 0 if the report was written, 1 if it could not be written, 2 if the settings or the input are invalid
     */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        SettingsReader reader = new SettingsReader(
                "fuchsiawinch-report",
                "Reports the burn of service levels and spend, from records and the document.",
                List.of(RECORDS, TRACE, POLICY, SEED, DOCUMENT, FORMAT, OUTPUT, AT));
        return Program.run(reader, arguments, out, err, settings -> report(settings, out, err));
    }

    private static int report(Settings settings, PrintStream out, PrintStream err) {
        if (settings.value(RECORDS).isEmpty() == settings.value(TRACE).isEmpty()) {
            err.println(new SettingProblem(
                    SettingProblem.Code.MISSING, RECORDS.flag(), "give either this or --" + TRACE.flag()));
            return Program.EXIT_USAGE;
        }
        Optional<Document> document = readDocument(settings.value(DOCUMENT), err);
        Optional<Records> records = settings.value(TRACE).isEmpty()
                ? readRecords(settings.value(RECORDS), err)
                : replayTrace(settings, err);
        if (document.isEmpty() || records.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        OptionalLong latestMs = records.get().latestMs();
        OptionalLong nowMs = settings.value(AT).isPresent() ? settings.value(AT) : latestMs;
        if (nowMs.isEmpty()) {
            // One of the two is empty.
            err.println(settings.value(RECORDS) + settings.value(TRACE) + ": no records; give --at");
            return Program.EXIT_USAGE;
        }
        String text = settings.value(FORMAT)
                .renderer()
                .render(BurnCalculator.compute(records.get(), document.get(), nowMs.getAsLong()));
        return writeOutput(settings.value(OUTPUT), text, out, err);
    }

    private static Optional<Document> readDocument(String file, PrintStream err) {
        try {
            DocumentResult result = new DocumentReader().read(file, Files.readString(Path.of(file)));
            if (result instanceof DocumentResult.Accepted accepted) {
                return Optional.of(accepted.document());
            }
            ((DocumentResult.Rejected) result).problems().forEach(err::println);
        } catch (IOException problem) {
            err.println(file + ": cannot be read: " + problem);
        }
        return Optional.empty();
    }

    private static Optional<Records> readRecords(String file, PrintStream err) {
        try (Reader source = openInput(file)) {
            RecordsResult result = new RecordsReader().read(file, source);
            if (result instanceof RecordsResult.Accepted accepted) {
                return Optional.of(accepted.records());
            }
            ((RecordsResult.Rejected) result).problems().forEach(err::println);
        } catch (IOException problem) {
            err.println(file + ": cannot be read: " + problem);
        }
        return Optional.empty();
    }

    private static Optional<Records> replayTrace(Settings settings, PrintStream err) {
        LoadResult loaded = new ReplayLoader().load(Path.of(settings.value(TRACE)), Path.of(settings.value(DOCUMENT)));
        if (loaded instanceof LoadResult.Refused refused) {
            refused.problems().forEach(err::println);
            return Optional.empty();
        }
        ReplayInput input = ((LoadResult.Loaded) loaded).input();
        return Optional.of(ReplayRecords.of(input, settings.value(POLICY), settings.value(SEED)));
    }

    private static Reader openInput(String file) throws IOException {
        return file.equals(STANDARD_STREAM)
                ? new InputStreamReader(System.in, StandardCharsets.UTF_8)
                : Files.newBufferedReader(Path.of(file));
    }

    private static int writeOutput(String file, String text, PrintStream out, PrintStream err) {
        if (file.equals(STANDARD_STREAM)) {
            out.print(text);
            return Program.EXIT_OK;
        }
        try {
            Files.writeString(Path.of(file), text);
            return Program.EXIT_OK;
        } catch (IOException problem) {
            err.println(file + ": cannot be written: " + problem);
            return Program.EXIT_FAILED;
        }
    }

    /** Returns the time in ms, with an empty time for {@code latest}; empty if the text is invalid. */
    private static Optional<OptionalLong> parseTime(String text) {
        if (text.equals("latest")) {
            return Optional.of(OptionalLong.empty());
        }
        try {
            return Optional.of(OptionalLong.of(Long.parseLong(text))).filter(ms -> ms.getAsLong() >= 0);
        } catch (NumberFormatException problem) {
            return Optional.empty();
        }
    }
}
