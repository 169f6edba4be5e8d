package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Guards against preferences of placement without a bound in time, and against waiving them on a busy fleet. */
public class PreferenceWaiverTest {

    private static StepSpec step(int count, int accelerators, long runMs, boolean gang, Optional<String> label) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, accelerators, 0, 0),
                runMs,
                List.of(),
                gang,
                gang,
                false,
                0,
                label,
                Optional.empty());
    }

    private static Set<String> racksOf(OwnerHarness harness, String job) {
        return harness.workers.values().stream()
                .filter(worker -> worker.running.keySet().stream()
                        .anyMatch(run -> run.task().job().equals(job)))
                .map(worker -> worker.rack)
                .collect(Collectors.toSet());
    }

    private static OwnerHarness fleet() {
        OwnerHarness harness = new OwnerHarness().workers(16);
        harness.gangsSynchronized = true;
        harness.headroomShare = 0;
        return harness.takeOver().run(500);
    }

    @Test
    public void gangWaitsForARackWhileHalfOfTheCapacityIsInUse() {
        OwnerHarness harness = fleet();
        for (int rack = 0; rack < 4; rack++) {
            long runMs = rack == 0 ? 5000 : 30_000;
            harness.submit("long" + rack, 2, step(2, 8, runMs, false, Optional.of("r" + rack)));
        }
        harness.run(500);
        assertEquals(harness.runningCount(), 8);
        harness.submit("gang", 1, step(4, 8, 20_000, true, Optional.empty())).run(4000);
        assertEquals(racksOf(harness, "gang"), Set.of());
        harness.run(1000);
        assertEquals(racksOf(harness, "gang"), Set.of("r0"));
    }

    @Test
    public void smallJobsDoNotTakeTheCapacityOfAGangAgain() {
        OwnerHarness harness = fleet();
        for (int rack = 0; rack < 4; rack++) {
            harness.submit("long" + rack, 2, step(1, 1, 30_000, false, Optional.of("r" + rack)));
        }
        harness.run(500).submit("gang", 1, step(4, 8, 20_000, true, Optional.empty()));
        for (int i = 0; i < 10; i++) {
            harness.submit("small" + i, 0, step(1, 8, 1000, false, Optional.empty()))
                    .run(250);
        }
        assertFalse(racksOf(harness, "gang").isEmpty());
    }

    @Test
    public void urgentWorkReclaimsWhatAGangTookAcrossRacks() {
        OwnerHarness harness = fleet();
        for (int rack = 0; rack < 4; rack++) {
            harness.submit("long" + rack, 2, step(1, 1, 30_000, false, Optional.of("r" + rack)));
        }
        harness.run(500)
                .submit("gang", 1, step(4, 8, 20_000, true, Optional.empty()))
                .run(2500);
        assertEquals(harness.runningCount(), 8);
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 128));
        harness.takeOver().run(500);
        harness.submit("urgent", 0, step(10, 8, 3000, false, Optional.empty())).run(1500);
        long running = harness.workers.values().stream()
                .flatMap(worker -> worker.running.keySet().stream())
                .filter(run -> run.task().job().equals("urgent"))
                .count();
        assertEquals(running, 10);
    }

    @Test
    public void workerInQuarantineRunsAJobThatFitsNowhereElse() {
        OwnerHarness harness = new OwnerHarness().workers(4);
        FakeWorker only = harness.worker("x0", "only");
        only.failsAllRuns = true;
        harness.takeOver().run(500);
        harness.submit(new Submission(
                "failing",
                "q1",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, 2, 3, 500),
                harness.nowMs,
                "payload",
                List.of(step(1, 4, 1000, false, Optional.of("only")))));
        harness.runUntil(() -> harness.phase("failing").equals(Optional.of(JobPhase.FAILED)));
        assertEquals(harness.lines.of("worker-quarantined").size(), 1);
        only.failsAllRuns = false;
        harness.submit("next", 1, step(1, 4, 20_000, false, Optional.of("only")))
                .run(1500);
        assertEquals(harness.runningCount(), 0);
        harness.run(500);
        assertEquals(harness.runningCount(), 1);
    }
}
