package org.fuchsiawinch.golden;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Compares each session with its file and its expectations. Guards against a change of node, scheduler, log or worker
 * that alters what they exchange without being noticed, and against a comparison that passes although a byte differs or
 * an expectation is not met.
 */
public class GoldenSessionsTest {

    private static final Path SAMPLES = Path.of("..", "samples");

    private Path samplesCopy;

    @BeforeMethod
    public void copySamples() throws IOException {
        samplesCopy = Files.createTempDirectory("golden");
        try (Stream<Path> files = Files.walk(SAMPLES)) {
            for (Path file : files.filter(path -> !path.startsWith(SAMPLES.resolve("traces")))
                    .toList()) {
                Path target = samplesCopy.resolve(SAMPLES.relativize(file).toString());
                if (Files.isDirectory(file)) {
                    Files.createDirectories(target);
                } else {
                    Files.copy(file, target);
                }
            }
        }
    }

    @AfterMethod(alwaysRun = true)
    public void deleteSamplesCopy() throws IOException {
        try (Stream<Path> files = Files.walk(samplesCopy)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @DataProvider
    public Object[][] sessions() {
        return Sessions.all().stream()
                .map(session -> new Object[] {session.name(), session})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "sessions")
    public void transcriptEqualsItsFile(String name, Session session) {
        SampleFiles samples = new SampleFiles(SAMPLES);
        SessionResult result = new SessionRunner(session, samples).run();
        Optional<String> difference = TextDiff.between(name, samples.transcript(name), result.transcript());
        assertEquals(difference.orElse(""), "");
        assertEquals(result.unmet(), List.of());
    }

    /** Guards against a transcript too long to review, such as one that lists each renewal instead of their count. */
    @Test(dataProvider = "sessions")
    public void transcriptHasAtMost400Lines(String name, Session session) {
        long lines = new SampleFiles(SAMPLES).transcript(name).lines().count();
        assertTrue(lines > 0 && lines <= 400, name + " has " + lines + " lines");
    }

    @Test
    public void eachFileBelongsToASession() throws IOException {
        List<String> expected = Sessions.all().stream()
                .map(session -> session.name() + ".session")
                .sorted()
                .toList();
        try (Stream<Path> files = Files.list(SAMPLES.resolve("sessions"))) {
            assertEquals(
                    files.map(file -> file.getFileName().toString()).sorted().toList(), expected);
        }
    }

    @Test
    public void changedByteIsReportedWithItsLine() throws IOException {
        Session session = ScanMatch.session();
        Path file = samplesCopy.resolve("sessions").resolve(session.name() + ".session");
        byte[] bytes = Files.readAllBytes(file);
        int changed = new String(bytes, StandardCharsets.UTF_8).indexOf("kind=", bytes.length / 2);
        bytes[changed] ^= 1;
        Files.write(file, bytes);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        int status =
                new GoldenMain(new SampleFiles(samplesCopy), new PrintStream(printed)).run(List.of(session), false);
        assertEquals(status, 1);
        String text = printed.toString(StandardCharsets.UTF_8);
        long line = new String(bytes, 0, changed, StandardCharsets.ISO_8859_1)
                        .chars()
                        .filter(character -> character == '\n')
                        .count()
                + 1;
        assertTrue(text.contains("@@ line " + line + ", 1 lines in the file, 1 in this run @@"), text);
        assertTrue(text.contains("as-expected=false"), text);
    }

    @Test
    public void writeRestoresChangedFile() {
        SampleFiles samples = new SampleFiles(samplesCopy);
        Session session = ScanMatch.session();
        samples.write(session.name(), "other");
        GoldenMain golden = new GoldenMain(samples, new PrintStream(new ByteArrayOutputStream()));
        assertEquals(golden.run(List.of(session), true), 0);
        assertEquals(samples.transcript(session.name()), new SampleFiles(SAMPLES).transcript(session.name()));
    }

    @Test
    public void unmetExpectationFailsThoughTranscriptMatches() {
        Session original = ScanMatch.session();
        Expectation unmet = Expectation.runs("scans.temple-panel-3", 16, 2);
        Session session =
                new Session(original.name(), original.site(), original.script(), original.endMs(), List.of(unmet));
        SampleFiles samples = new SampleFiles(samplesCopy);
        GoldenMain golden = new GoldenMain(samples, new PrintStream(new ByteArrayOutputStream()));
        assertEquals(golden.run(List.of(session), true), 1);
        SessionResult result = new SessionRunner(session, samples).run();
        assertEquals(result.transcript(), samples.transcript(session.name()));
        assertEquals(result.unmet().size(), 1);
    }

    @Test
    public void missingSampleFileIsReported() {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        SampleFiles absent = new SampleFiles(samplesCopy.resolve("absent"));
        int status = new GoldenMain(absent, new PrintStream(printed)).runReportingSampleErrors(Sessions.all(), false);
        assertEquals(status, 2);
        assertTrue(printed.toString(StandardCharsets.UTF_8).contains("document.yaml cannot be read"));
    }

    @Test(dataProvider = "sessions")
    public void expectationsFailWithoutObservations(String name, Session session) {
        Observations empty = new Observations();
        for (Expectation expectation : session.expectations()) {
            boolean met = expectation.difference().apply(empty).isEmpty();
            assertEquals(met, expectation.text().endsWith("runs=0"), expectation.text());
        }
        assertFalse(session.expectations().isEmpty(), name);
    }
}
