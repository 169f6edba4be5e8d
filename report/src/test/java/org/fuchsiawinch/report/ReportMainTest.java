package org.fuchsiawinch.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests exit statuses and output formats of the command. */
public class ReportMainTest {

    private static final String DOCUMENT =
            Path.of("..", "samples", "lagilagi", "document.yaml").toString();

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private Path records;

    @BeforeMethod
    void writeRecords() throws IOException {
        System.setProperty("java.awt.headless", "true");
        out.reset();
        err.reset();
        records = Files.createTempFile("records", ".jsonl");
        Files.writeString(
                records,
                "{\"type\":\"job\",\"job\":\"j1\",\"workspace\":\"<b>&\",\"kind\":\"plan\",\"guaranteed\":true,"
                        + "\"submittedMs\":10,\"startedMs\":20,\"endedMs\":30,\"outcome\":\"completed\","
                        + "\"wholeAnswer\":true,\"spendMicros\":5}\n"
                        + "{\"type\":\"job\",\"job\":\"j2\",\"workspace\":\"plans\",\"kind\":\"plan\","
                        + "\"guaranteed\":true,\"submittedMs\":10,\"startedMs\":20,\"endedMs\":30,"
                        + "\"outcome\":\"completed\",\"wholeAnswer\":false,\"spendMicros\":5}\n"
                        + "{\"type\":\"sample\",\"atMs\":40,\"fragmentation\":0.25,\"queueLength\":3,"
                        + "\"spendMicros\":10}\n"
                        + "{\"type\":\"sample\",\"atMs\":60,\"fragmentation\":0.25,\"queueLength\":4,"
                        + "\"spendMicros\":10}\n");
    }

    @AfterMethod
    void deleteRecords() throws IOException {
        Files.delete(records);
    }

    @Test
    public void jsonContainsTheBurn() throws IOException {
        assertEquals(run("--records", records.toString(), "--document", DOCUMENT, "--format", "json"), 0);
        JsonNode report = new ObjectMapper().readTree(out.toByteArray());
        assertEquals(report.path("atMs").asLong(), 60);
        JsonNode worst = report.path("objectives").path(0);
        assertEquals(worst.path("workspace").asText(), "plans");
        assertEquals(worst.path("objective").asText(), "whole-answers");
        assertEquals(worst.path("bad").asInt(), 1);
        assertTrue(worst.path("firing").asBoolean());
        assertEquals(report.path("meanFragmentation").asDouble(), 0.25);
    }

    /** The page loads nothing, and names from records cannot inject markup. */
    @Test
    public void htmlIsSelfContained() {
        assertEquals(run("--records", records.toString(), "--document", DOCUMENT, "--format", "html"), 0);
        String page = out.toString(StandardCharsets.UTF_8);
        assertTrue(page.contains("<td>&lt;b&gt;&amp;</td>"), "names are escaped");
        assertFalse(page.contains("<script") || page.contains("http://") || page.contains("https://"));
        assertEquals(page.split("<img ", -1).length - 1, 3, "fragmentation, queue and one workspace");
        assertTrue(page.contains("src=\"data:image/png;base64,iVBOR"));
    }

    @Test
    public void writesTextToAFile() throws IOException {
        Path file = Files.createTempFile("report", ".txt");
        assertEquals(run("--records", records.toString(), "--document", DOCUMENT, "--output", file.toString()), 0);
        String text = Files.readString(file);
        Files.delete(file);
        assertTrue(text.contains("Fragmentation, averaged over time: 25.0%"), text);
        assertEquals(out.size(), 0);
    }

    @Test
    public void invalidRecordsAreReportedWithFileLineAndField() throws IOException {
        Files.writeString(records, "{\"type\":\"sample\",\"atMs\":\"x\"}\n");
        assertEquals(run("--records", records.toString(), "--document", DOCUMENT), 2);
        assertTrue(err.toString(StandardCharsets.UTF_8).startsWith(records + ":1: atMs: INVALID"), err.toString());
        assertEquals(out.size(), 0);
    }

    @Test
    public void problemsOfDocumentAndRecordsAreBothReported() {
        assertEquals(run("--records", "none.jsonl", "--document", records.toString()), 2);
        String problems = err.toString(StandardCharsets.UTF_8);
        assertTrue(problems.contains("none.jsonl: cannot be read"), problems);
        assertTrue(problems.contains(records.toString()), problems);
    }

    @Test
    public void requiresEitherRecordsOrTrace() {
        assertEquals(run("--document", DOCUMENT), 2);
        assertEquals(run("--document", DOCUMENT, "--records", "r", "--trace", "t"), 2);
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("--records: MISSING"));
    }

    @Test
    public void replaysATraceToDeriveRecords() throws IOException {
        String trace =
                Path.of("..", "samples", "traces", "lagilagi-rack-lost.jsonl").toString();
        assertEquals(run("--trace", trace, "--document", DOCUMENT, "--format", "json"), 0);
        JsonNode report = new ObjectMapper().readTree(out.toByteArray());
        long ended = 0;
        for (JsonNode workspace : report.path("workspaces")) {
            for (JsonNode count : workspace.path("outcomes")) {
                ended += count.asLong();
            }
        }
        long submits = Files.readAllLines(Path.of(trace)).stream()
                .filter(line -> line.contains("\"submit\""))
                .count();
        assertEquals(ended, submits, "each request ended once");
        assertTrue(report.path("samples").size() > 10);
        assertTrue(report.path("spends").path(0).path("spentMicros").asLong() > 0);
    }

    @Test
    public void unwritableOutputFails() {
        String output = Path.of("none", "report.txt").toString();
        assertEquals(run("--records", records.toString(), "--document", DOCUMENT, "--output", output), 1);
    }

    private int run(String... arguments) {
        return ReportMain.run(arguments, new PrintStream(out), new PrintStream(err));
    }
}
