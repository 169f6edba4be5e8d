package org.fuchsiawinch.workflow;

import java.util.List;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against run times that the owner learns from runs it must not learn from, or loses with a takeover. */
public class LearnedRunTimesTest {

    private static List<RunTimeModel.Group> stored(OwnerHarness harness) {
        CellRecord record = harness.stored.get(CellRecord.LearnedRunTimes.KEY);
        return record == null ? List.of() : ((CellRecord.LearnedRunTimes) record).runTimes();
    }

    private static int completedRuns(OwnerHarness harness) {
        return stored(harness).stream()
                .filter(group -> group.kind().shape().isEmpty())
                .flatMap(group -> group.weights().entrySet().stream())
                .filter(weight -> weight.getKey() >= 0)
                .mapToInt(weight -> weight.getValue() / 4)
                .sum();
    }

    /** An owner of two workers whose callers estimate half of the run time. */
    private static OwnerHarness learned() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver().run(3500);
        harness.groundTruth = task -> 2 * harness.step(task).estimatedMs();
        harness.submit("first", 1, OwnerHarness.tasks(10, 1, 500)).run(4000);
        harness.submit("second", 1, OwnerHarness.tasks(2, 1, 500)).run(4000);
        return harness;
    }

    @Test
    public void storesWhatCompletedRunsShow() {
        assertTrue(completedRuns(learned()) >= 10, "completed runs");
    }

    @Test
    public void successorGoesOnFromWhatIsStored() {
        OwnerHarness harness = learned();
        int before = completedRuns(harness);
        harness.takeOver();
        harness.submit("third", 1, OwnerHarness.tasks(4, 1, 500)).run(6000);
        harness.submit("fourth", 1, OwnerHarness.tasks(1, 1, 500)).run(6000);
        assertTrue(completedRuns(harness) >= before + 4, before + " before, " + completedRuns(harness) + " after");
    }

    // The successor has not seen when the runs began.
    @Test
    public void learnsNothingFromInheritedRuns() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver().run(3500);
        harness.submit("long", 1, OwnerHarness.tasks(4, 1, 6000)).run(3000);
        harness.takeOver();
        harness.run(8000);
        harness.submit("next", 1, OwnerHarness.tasks(1, 1, 200)).run(4000);
        assertEquals(completedRuns(harness), 0);
    }

    private static void submit(OwnerHarness harness, String id, String workspace, StepSpec step) {
        harness.submit(new Submission(
                id,
                "q",
                "desk",
                new WorkspaceId(workspace),
                new Submission.QueueRules(1, 3, 3, 500),
                harness.nowMs,
                "payload",
                List.of(step)));
    }

    /** Returns which of two waiting jobs with the same estimate, the slow one first, begins first on a full worker. */
    private static String firstToStart(OwnerHarness harness, String suffix) {
        List<TaskRun> starts = harness.workers.values().iterator().next().startedRuns;
        submit(harness, "blocking" + suffix, "other", OwnerHarness.tasks(1, 8, 1000));
        harness.run(500);
        int before = starts.size();
        submit(harness, "slow" + suffix, "slow", OwnerHarness.tasks(1, 8, 1000));
        submit(harness, "fast" + suffix, "fast", OwnerHarness.tasks(1, 8, 1000));
        harness.run(8000);
        return starts.get(before).task().job();
    }

    // Guards against work that takes four times its estimate and goes before work that takes what was estimated. Load:
    // more jobs than room.
    @Test
    public void ordersWaitingWorkByWhatTheRunsOfItsWorkspaceTook() {
        OwnerHarness harness = new OwnerHarness().workers(1).takeOver().run(3500);
        harness.groundTruth = task ->
                (task.job().startsWith("slow") ? 4 : 1) * harness.step(task).estimatedMs();
        assertEquals(firstToStart(harness, "-before"), "slow-before");
        for (int round = 0; round < 12; round++) {
            submit(harness, "slow" + round, "slow", OwnerHarness.tasks(8, 1, 200));
            submit(harness, "fast" + round, "fast", OwnerHarness.tasks(8, 1, 200));
            harness.run(3000);
        }
        assertEquals(firstToStart(harness, "-after"), "fast-after");
    }

    @Test
    public void countsAGangOnce() {
        OwnerHarness harness = new OwnerHarness().workers(2).takeOver().run(3500);
        harness.gangsSynchronized = true;
        harness.submit("gang", 1, OwnerHarness.gang(4, 2, 500)).run(4000);
        harness.submit("next", 1, OwnerHarness.tasks(1, 1, 500)).run(4000);
        assertEquals(completedRuns(harness), 1);
    }
}
