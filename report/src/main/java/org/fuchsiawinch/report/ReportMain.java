package org.fuchsiawinch.report;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.report.burn.BurnCalculator;
import org.fuchsiawinch.report.records.Records;
import org.fuchsiawinch.report.records.RecordsReader;
import org.fuchsiawinch.report.records.RecordsResult;
import org.fuchsiawinch.report.render.ReportFormat;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;

/** Command that reports the burn of service levels and spend from records and the document. */
public final class ReportMain {

    /** File of records. */
    public static final Setting<String> RECORDS =
            Setting.text("records", "file of records, one JSON object a line; - for standard input");

    /** File of the document. */
    public static final Setting<String> DOCUMENT =
            Setting.text("document", "document with service levels and spending limits, YAML");

    /** Format of the report. */
    public static final Setting<ReportFormat> FORMAT =
            Setting.choice("format", "format of the report", ReportFormat.class).withDefault("text");

    /** File that takes the report. */
    public static final Setting<String> OUTPUT = Setting.text(
                    "output", "file that takes the report; - for standard output")
            .withDefault("-");

    /** Moment of the report. */
    public static final Setting<OptionalLong> AT = new Setting<>(
            "at",
            "moment of the report, in ms since the epoch",
            Optional.of("latest"),
            ReportMain::parseMoment,
            "a whole number, or latest for the latest time in the records");

    private static final String STANDARD = "-";

    private ReportMain() {}

    /**
     * Runs the command and ends the process with its exit status.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs the command.
     *
     * @param arguments the command line
     * @param out takes the report or the help text
     * @param err takes the problems
     * @return 0 if the report was made, 1 if it could not be written, 2 if the settings or the input are wrong
     */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        SettingsReader reader = new SettingsReader(
                "fuchsiawinch-report",
                "Reports the burn of service levels and spend, from records and the document.",
                List.of(RECORDS, DOCUMENT, FORMAT, OUTPUT, AT));
        return Program.run(reader, arguments, out, err, settings -> report(settings, out, err));
    }

    private static int report(Settings settings, PrintStream out, PrintStream err) {
        Optional<Document> document = document(settings.value(DOCUMENT), err);
        Optional<Records> records = records(settings.value(RECORDS), err);
        if (document.isEmpty() || records.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        OptionalLong latestMs = records.get().latestMs();
        OptionalLong nowMs = settings.value(AT).isPresent() ? settings.value(AT) : latestMs;
        if (nowMs.isEmpty()) {
            err.println(settings.value(RECORDS) + ": no records; give --at");
            return Program.EXIT_USAGE;
        }
        String text = settings.value(FORMAT)
                .renderer()
                .render(BurnCalculator.compute(records.get(), document.get(), nowMs.getAsLong()));
        return write(settings.value(OUTPUT), text, out, err);
    }

    private static Optional<Document> document(String file, PrintStream err) {
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

    private static Optional<Records> records(String file, PrintStream err) {
        try (Reader source = open(file)) {
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

    private static Reader open(String file) throws IOException {
        return file.equals(STANDARD)
                ? new InputStreamReader(System.in, StandardCharsets.UTF_8)
                : Files.newBufferedReader(Path.of(file));
    }

    private static int write(String file, String text, PrintStream out, PrintStream err) {
        if (file.equals(STANDARD)) {
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

    private static Optional<OptionalLong> parseMoment(String text) {
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
