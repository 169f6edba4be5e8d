package org.fuchsiawinch.workflow;

import java.util.Map;
import java.util.Optional;

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
        long before = failedReclaims(harness);
        for (int ms = 0; ms < 400; ms++) {
            harness.input(new OwnerInput.GuaranteesChanged(harness.guarantees));
            harness.run(1);
        }
        long passes = failedReclaims(harness) - before;
        assertTrue(passes >= 4 && passes <= 20, passes + " passes in 400 ms");
    }
}
