package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the log of the owner says why nothing of an accepted job runs. */
public class StandingJobsTest {

    private static Map<String, String> standing(OwnerHarness harness) {
        List<Map<String, String>> lines = harness.lines.of("job-standing");
        assertTrue(!lines.isEmpty(), harness.log.toString());
        return lines.get(lines.size() - 1);
    }

    private static StepSpec labelled(String label) {
        return new StepSpec(
                1,
                new Resources(1000, 1000, 8, 0, 0),
                60_000,
                List.of(),
                false,
                false,
                false,
                0,
                Optional.of(label),
                Optional.empty());
    }

    @Test
    public void namesMissingCapacity() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(500);
        harness.submit("first", 1, OwnerHarness.tasks(1, 8, 60_000)).run(500);
        harness.submit("second", 1, OwnerHarness.tasks(1, 8, 60_000)).run(3000);
        Map<String, String> line = standing(harness);
        assertEquals(line.get("request"), "second");
        assertEquals(line.get("cause"), "no-capacity");
        assertEquals(line.get("runs"), "0");
        assertEquals(line.get("workspace"), "ws");
    }

    @Test
    public void namesTheRunOfASilentWorker() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(500);
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 60_000)).run(2000);
        harness.workers.values().iterator().next().silent = true;
        harness.run(6500);
        Map<String, String> line = standing(harness);
        assertEquals(line.get("cause"), "held-by-runs");
        assertEquals(line.get("worker"), "w0");
        assertTrue(Long.parseLong(line.get("silentMs")) > 2000, line.toString());
    }

    @Test
    public void namesAnAppendWithoutAnAnswer() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(500);
        harness.storeDown = true;
        harness.submit("job", 1, OwnerHarness.tasks(1, 8, 60_000)).run(4000);
        assertTrue(Long.parseLong(standing(harness).get("appendAgeMs")) > 1500, harness.log.toString());
    }

    @Test
    public void countsStandingJobsInTheLoad() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(500);
        harness.submit("job", 1, labelled("none")).submit("other", 1, labelled("none"));
        harness.run(6000);
        List<Map<String, String>> lines = harness.lines.of("owner-load");
        Map<String, String> load = lines.get(lines.size() - 1);
        assertEquals(load.get("standingJobs"), "2");
        assertTrue(Long.parseLong(load.get("longestStandingMs")) > 4000, load.toString());
    }

    /** Guards against lines without bound: the interval doubles, and one check has five lines. */
    @Test
    public void boundsItsLines() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(500);
        for (int i = 0; i < 20; i++) {
            harness.submit("job" + i, 1, labelled("none"));
        }
        harness.run(60_000);
        assertTrue(
                harness.lines.of("job-standing").size() <= 20 * 5,
                "" + harness.lines.of("job-standing").size());
    }
}
