package org.fuchsiawinch.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiawinch.replay.generate.TraceGenerator;
import org.fuchsiawinch.replay.generate.TraceKind;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceWriter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a plan shows the effect of a proposed document and leaves the document in force unchanged. */
public final class PlanCommandTest {

    private static final long TRACE_LENGTH_MS = 1_800_000;

    private final FakeNode node = new FakeNode();
    private Path trace;
    private Path edited;

    @BeforeClass
    void writeFiles() throws IOException {
        Trace generated = new TraceGenerator()
                .generate(TraceKind.byName("lagilagi-festival-burst").orElseThrow(), 1);
        List<TraceEvent> firstEvents = generated.events().stream()
                .filter(event -> event.atMs() < TRACE_LENGTH_MS)
                .toList();
        trace = Files.createTempFile("morning", ".jsonl");
        Files.writeString(trace, new TraceWriter().write(new Trace("morning", generated.horizonMs(), firstEvents)));
        edited = Files.createTempFile("edited", ".yaml");
        Files.writeString(
                edited,
                node.current()
                        .text()
                        .replace("plans: {amount: 9000.00", "plans: {amount: 10.00")
                        .replace("checkpoint: 20s", "checkpoint: 30s"));
    }

    @AfterClass
    void removeFiles() throws IOException {
        Files.delete(trace);
        Files.delete(edited);
    }

    /** A lower spending limit reduces spend and completed requests, also in the variant with only that section. */
    @Test
    public void showsTheEffectOfEachSection() throws IOException {
        CtlRun run = plan("--output", "json");
        assertEquals(run.status(), 0, run.err());
        JsonNode report = new ObjectMapper().readTree(run.out());
        assertEquals(report.path("sections").findValuesAsText("section"), List.of("capacity", "spending"));
        JsonNode variants = report.path("variants");
        assertEquals(
                variants.findValuesAsText("name"), List.of("accepted", "only capacity", "only spending", "proposed"));
        JsonNode accepted = variants.get(0).path("measures");
        assertTrue(spend(accepted, "plans") > 0, run.out());
        for (int variant : new int[] {2, 3}) {
            JsonNode measures = variants.get(variant).path("measures");
            assertTrue(spend(measures, "plans") < spend(accepted, "plans"), run.out());
            assertTrue(measures.path("jobs").path("completed").asInt()
                    < accepted.path("jobs").path("completed").asInt());
        }
        assertEquals(spend(variants.get(1).path("measures"), "plans"), spend(accepted, "plans"));
        assertEquals(node.current().version(), 1);
    }

    /** The output lists the changed fields and has a row for each measure; equal documents show no change. */
    @Test
    public void printsATable() {
        String out = plan().out();
        assertTrue(out.contains("spending.limits.plans.amount  9000.00  ->  10.00"), out);
        for (String label : new String[] {
            "completion mean, min",
            "spend of plans, FJD",
            "fragmentation, %",
            "guaranteed start max, s",
            "reclaim max, s"
        }) {
            assertTrue(out.contains(label), label);
        }
        String same = CtlRun.of(
                        node, "document", "plan", "../samples/lagilagi/document.yaml", "--trace", trace.toString())
                .out();
        assertTrue(same.startsWith("no difference\n"), same);
        // Skips the differences, an empty line, the line of the trace and the header.
        assertTrue(same.lines().skip(4).allMatch(line -> line.endsWith("=")), same);
    }

    /** An invalid trace is a usage error that names file, line and field. */
    @Test
    public void reportsAnInvalidTrace() throws IOException {
        Path bad = Files.createTempFile("bad", ".jsonl");
        Files.writeString(bad, Files.readString(trace).replaceFirst("\"accelerators\":8", "\"accelerators\":\"8\""));
        CtlRun run = CtlRun.of(node, "document", "plan", edited.toString(), "--trace", bad.toString());
        assertEquals(run.status(), 2);
        assertTrue(run.err().contains(bad + ":2: accelerators: "), run.err());
        Files.delete(bad);
    }

    private CtlRun plan(String... more) {
        String base = "../samples/lagilagi/document.yaml";
        List<String> call = new ArrayList<>(
                List.of("document", "plan", edited.toString(), "--base", base, "--trace", trace.toString()));
        call.addAll(List.of(more));
        return CtlRun.of(node, call.toArray(String[]::new));
    }

    /** Returns a workspace's spend; the measures list only workspaces with spend. */
    private static long spend(JsonNode measures, String workspace) {
        for (JsonNode spend : measures.path("spend")) {
            if (spend.path("workspace").asText().equals(workspace)) {
                return spend.path("totalMicros").asLong();
            }
        }
        return 0;
    }
}
