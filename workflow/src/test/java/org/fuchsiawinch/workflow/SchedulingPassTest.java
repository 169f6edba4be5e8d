package org.fuchsiawinch.workflow;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against an owner that spends its processor time on scheduling passes that cannot place anything. */
public class SchedulingPassTest {

    private static OwnerHarness harness(int workers) {
        OwnerHarness harness = new OwnerHarness().workers(workers);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 8 * workers));
        return harness;
    }

    private static long failedReclaims(OwnerHarness harness) {
        return harness.log.stream()
                .filter(line -> line.contains("reclaim-failed"))
                .count();
    }

    private static int passes(OwnerHarness harness) {
        return harness.counts.getOrDefault("scheduling.passes", 0);
    }

    /** Guards against a takeover in which each listed worker causes a scheduling pass before any of them can be used. */
    @Test
    public void newOwnerSchedulesOnceMostWorkersHaveAnswered() {
        OwnerHarness harness = harness(40).takeOver();
        harness.run(500);
        harness.owner = null;
        harness.submit("urgent", 0, OwnerHarness.tasks(4, 8, 1000));
        harness.takeOver().run(3000);
        assertEquals(failedReclaims(harness), 0);
        assertEquals(harness.phase("urgent"), Optional.of(JobPhase.COMPLETED));
    }

    /** Guards against a new owner that never schedules because part of the workers does not answer. */
    @Test
    public void newOwnerSchedulesAlthoughHalfOfTheWorkersAreSilent() {
        OwnerHarness harness = harness(4).takeOver();
        harness.run(500);
        harness.workers.values().stream().limit(2).forEach(worker -> worker.silent = true);
        harness.owner = null;
        harness.submit("urgent", 0, OwnerHarness.tasks(2, 8, 1000));
        harness.takeOver().run(3500);
        assertEquals(harness.phase("urgent"), Optional.of(JobPhase.COMPLETED));
    }

    /** Guards against one scheduling pass per input while work waits that cannot be placed. */
    @Test
    public void inputsInQuickSuccessionShareAPass() {
        OwnerHarness harness = harness(1).takeOver();
        harness.run(500);
        harness.submit("first", 0, OwnerHarness.tasks(1, 8, 20_000)).run(500);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 16));
        harness.input(new OwnerInput.GuaranteesChanged(harness.guarantees));
        harness.submit("second", 0, OwnerHarness.tasks(1, 8, 1000)).run(100);
        int before = passes(harness);
        for (int ms = 0; ms < 400; ms++) {
            harness.input(new OwnerInput.GuaranteesChanged(harness.guarantees));
            harness.run(1);
        }
        int passes = passes(harness) - before;
        assertTrue(passes >= 4 && passes <= 20, passes + " passes in 400 ms");
    }

    /** Guards against a search for victims by each of many units of the same shape, in each pass. */
    @Test
    public void unitsOfAShapeThatHasFailedShareAnAttemptToReclaim() {
        OwnerHarness harness = harness(4).takeOver();
        harness.run(500);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 8000));
        harness.input(new OwnerInput.GuaranteesChanged(harness.guarantees));
        harness.submit("first", 0, OwnerHarness.tasks(4, 8, 20_000)).run(500);
        for (int i = 0; i < 100; i++) {
            harness.submit("waiting" + i, 0, OwnerHarness.tasks(2, 8, 1000));
        }
        long before = failedReclaims(harness);
        harness.run(1000);
        long attempts = failedReclaims(harness) - before;
        assertTrue(attempts >= 5 && attempts <= 50, attempts + " attempts in 1 s for 200 units");
    }

    /** Guards against a pass that holds up orders, ends and renewals while it assigns a flood of work. */
    @Test
    public void floodIsAssignedInShortPasses() {
        OwnerHarness harness = harness(80);
        harness.headroomShare = 0;
        harness.takeOver().run(500);
        for (int i = 0; i < 64; i++) {
            harness.submit("job" + i, 2, OwnerHarness.tasks(10, 1, 20_000));
        }
        Map<String, Long> assignedByTime = new TreeMap<>();
        harness.run(1000);
        harness.log.stream()
                .filter(line -> line.contains("run-assigned"))
                .forEach(line -> assignedByTime.merge(line.substring(0, line.indexOf(' ')), 1L, Long::sum));
        long most =
                assignedByTime.values().stream().mapToLong(count -> count).max().orElse(0);
        assertTrue(most <= 60, most + " tasks assigned in one pass");
        assertEquals(harness.startCount(), 640);
    }
}
