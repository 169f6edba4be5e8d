package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against a gang that stands still while it prefers one rack: no rack has room for all its members, but three
 * quarters of the workers are idle.
 */
public class ScatteredCapacityTest {

    /** Time in ms for which a job may have nothing running while there is capacity for it twice over. */
    private static final long STANDSTILL_MS = 3000;

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

    @Test
    public void startsAGangAcrossRacksIfNoRackHasRoom() {
        OwnerHarness harness = new OwnerHarness().workers(16).takeOver();
        harness.gangsSynchronized = true;
        harness.run(500);
        for (int rack = 0; rack < 4; rack++) {
            harness.submit("long" + rack, 2, step(1, 1, 30_000, false, Optional.of("r" + rack)));
        }
        harness.run(500);
        assertEquals(harness.runningCount(), 4);
        harness.submit("gang", 1, step(4, 8, 20_000, true, Optional.empty())).run(STANDSTILL_MS);
        assertEquals(harness.runningCount(), 8, "members of the gang running beside the four long tasks");
    }
}
