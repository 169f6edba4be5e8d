package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against idle workers that get no work since a job that can never be done has failed on them: other jobs stand
 * still meanwhile.
 */
public class PoisonedFleetTest {

    /** Time in ms for which a job may have nothing running while there is capacity for it twice over. */
    private static final long STANDSTILL_MS = 3000;

    /** All runs of one job fail; those of other jobs take as long as they were estimated to. */
    private static final class OnePoisonedJob implements OwnerHarness.GroundTruth {

        @Override
        public double workMs(TaskRef task) {
            return 1000;
        }

        @Override
        public double failsAt(TaskRun run) {
            return run.task().job().equals("poison") ? 0.5 : 2;
        }
    }

    private static StepSpec tasks(int count) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, 1, 0, 0),
                1000,
                List.of(),
                false,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    @Test
    public void startsOtherWorkAfterAJobThatFailsOnAllWorkers() {
        OwnerHarness harness = new OwnerHarness().workers(4).takeOver();
        harness.groundTruth = new OnePoisonedJob();
        harness.run(500);
        harness.submit("poison", 2, tasks(32));
        harness.runUntil(() -> harness.phase("poison").equals(Optional.of(JobPhase.FAILED)));
        harness.run(500);
        assertEquals(harness.runningCount(), 0);
        harness.submit("good", 1, tasks(1)).run(STANDSTILL_MS);
        assertEquals(harness.phase("good"), Optional.of(JobPhase.COMPLETED));
    }
}
