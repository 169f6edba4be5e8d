package org.fuchsiawinch.core;

import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkspaceId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.HOUR_MS;
import static org.fuchsiawinch.core.SchedulerFixture.shape;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against ending a non-idempotent job, or quarantining its worker, when no part of its attempt was released to
 * run.
 */
public class WithdrawnAttemptTest {

    @Test
    public void nonIdempotentJobThatNeverBeganStartsAgain() {
        SchedulerFixture fixture = started();
        fixture.send(new SchedulerEvent.AttemptWithdrawn(fixture.attemptOf("j").orElseThrow()));
        assertEquals(fixture.attemptOf("j").orElseThrow().number(), 2);
        assertFalse(fixture.last.stream().anyMatch(Decision.EndJob.class::isInstance));
    }

    @Test
    public void nonIdempotentJobThatMayHaveBegunEnds() {
        SchedulerFixture fixture = started();
        fixture.send(new SchedulerEvent.AttemptStopped(fixture.attemptOf("j").orElseThrow(), false));
        assertTrue(fixture.last.stream().anyMatch(Decision.EndJob.class::isInstance));
    }

    @Test
    public void startTimeoutsNeitherQuarantineTheWorkerNorEndTheJob() {
        SchedulerFixture fixture = started();
        for (int i = 0; i < 20; i++) {
            fixture.fail("j", TaskFailure.START_TIMEOUT);
            assertTrue(fixture.last.stream().anyMatch(Decision.StopGang.class::isInstance));
            fixture.send(
                    new SchedulerEvent.AttemptWithdrawn(fixture.attemptOf("j").orElseThrow()));
            assertEquals(fixture.attemptOf("j").orElseThrow().number(), i + 2);
        }
    }

    private static SchedulerFixture started() {
        SchedulerFixture fixture = SchedulerFixture.disabling(null)
                .policy(Map.of("a", workspace()))
                .worker("w0", "a1", 8, 1.0);
        JobSpec nonRepeatable = new JobSpec(
                new JobId("j"),
                new WorkspaceId("a"),
                "reorder",
                shape(2, Adjacency.WORKER),
                HOUR_MS,
                false,
                false,
                Urgency.NORMAL,
                OptionalLong.of(100 * HOUR_MS));
        fixture.submit(nonRepeatable);
        assertTrue(fixture.runs("j"));
        return fixture;
    }
}
