package org.fuchsiawinch.replay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiawinch.replay.cli.ExitStatus;
import org.fuchsiawinch.replay.cli.ReplayCommand;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks the command line of a replay: refused input names flag, file, line and field, and output is repeatable. */
public class ReplayCommandTest {

    private static final String DOCUMENT = "../samples/bureau/document.yaml";
    private static final String TRACE = "../samples/traces/bureau-rack-lost.jsonl";

    private ByteArrayOutputStream out;
    private ByteArrayOutputStream err;

    @BeforeMethod
    public void clearOutput() {
        out = new ByteArrayOutputStream();
        err = new ByteArrayOutputStream();
    }

    @Test
    public void eachBadFlagIsNamed() {
        assertEquals(run("--trail", "x", "--seed", "many", "--policy", "luck"), ExitStatus.INPUT_REFUSED);
        for (String flag : new String[] {"--trail", "--seed", "--policy", "--trace", "--document"}) {
            assertTrue(text(err).contains("flag=" + flag + " "), flag + " in " + text(err));
        }
        assertEquals(text(out), "");
    }

    @Test
    public void helpShowsExamples() {
        assertEquals(run("--help"), ExitStatus.OK);
        assertTrue(text(out).contains("Examples:\n  bin/fuchsiawinch-replay"), text(out));
    }

    @Test
    public void unreadableTraceIsRefusedWithFileLineAndField() throws IOException {
        Path trace = Files.createTempFile("trace", ".jsonl");
        Files.writeString(trace, Files.readString(Path.of(TRACE)).replaceFirst("\"speed\":1.39", "\"speed\":\"fast\""));
        assertEquals(run("--trace", trace.toString(), "--document", DOCUMENT), ExitStatus.INPUT_REFUSED);
        assertEquals(
                text(err),
                "event=input-refused file=" + trace + " line=2 field=speed code=FIELD_TYPE" + System.lineSeparator());
        assertEquals(text(out), "");
        Files.delete(trace);
    }

    @Test
    public void unreadableDocumentIsRefusedWithFileLineAndField() throws IOException {
        Path document = Files.createTempFile("document", ".yaml");
        Files.writeString(
                document, Files.readString(Path.of(DOCUMENT)).replace("queue-bound: 500", "queue-bound: few"));
        assertEquals(run("--trace", TRACE, "--document", document.toString()), ExitStatus.INPUT_REFUSED);
        assertTrue(text(err).contains("file=" + document + " line="), text(err));
        assertTrue(text(err).contains("queue-bound"), text(err));
        assertEquals(text(out), "");
        Files.delete(document);
    }

    @Test
    public void jsonIsTheSameOnEachRun() {
        assertEquals(run("--trace", TRACE, "--document", DOCUMENT, "--format", "json", "--seed", "5"), ExitStatus.OK);
        String first = text(out);
        clearOutput();
        assertEquals(run("--trace", TRACE, "--document", DOCUMENT, "--format", "json", "--seed", "5"), ExitStatus.OK);
        assertEquals(text(out), first);
        assertTrue(first.contains("\"promisesBroken\""), first);
    }

    @Test
    public void tableShowsBaselinesBesideThePolicy() {
        assertEquals(run("--trace", TRACE, "--document", DOCUMENT, "--policy", "first-fit"), ExitStatus.OK);
        assertTrue(text(out).contains("\nfirst-come-first-served "), text(out));
        assertTrue(text(out).contains("\nbackfill "), text(out));
    }

    private ExitStatus run(String... args) {
        PrintStream standard = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
        return new ReplayCommand().run(args, standard, errors);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
