package org.fuchsiawinch.core.baseline;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against partial starts of gangs, and against capacity that is counted twice when a worker is lost and joins
 * again before its attempt is reported as stopped.
 */
public class FirstFitSchedulerTest {

    private static final Resources PART = new Resources(1000, 1024, 1, 1, 1);

    private FirstFitScheduler scheduler;

    @BeforeMethod
    public void freshScheduler() {
        scheduler = new FirstFitScheduler(true);
    }

    @Test
    public void gangStartsOnlyWhenAllPartsFit() {
        scheduler.decide(new SchedulerEvent.WorkerJoined(worker("w1", "r1")), 0);
        assertTrue(scheduler
                .decide(new SchedulerEvent.JobSubmitted(job("j1", 3)), 0)
                .isEmpty());

        List<Decision> otherRack = scheduler.decide(new SchedulerEvent.WorkerJoined(worker("w2", "r2")), 0);
        assertTrue(otherRack.isEmpty(), "a gang may not span two racks");

        List<Decision> sameRack = scheduler.decide(new SchedulerEvent.WorkerJoined(worker("w3", "r1")), 0);
        Decision.StartGang start = (Decision.StartGang) sameRack.get(0);
        assertEquals(start.placements().size(), 3);
    }

    @Test
    public void capacityOfAnAttemptOnALostWorkerIsNotReleasedTwice() {
        scheduler.decide(new SchedulerEvent.WorkerJoined(worker("w1", "r1")), 0);
        Decision.StartGang start = (Decision.StartGang) scheduler
                .decide(new SchedulerEvent.JobSubmitted(job("j1", 2)), 0)
                .get(0);
        scheduler.decide(new SchedulerEvent.WorkerLost(new WorkerId("w1")), 1);
        scheduler.decide(new SchedulerEvent.WorkerJoined(worker("w1", "r1")), 2);
        List<Decision> again = scheduler.decide(new SchedulerEvent.AttemptStopped(start.attempt(), false), 3);
        assertEquals(again.size(), 1, "the job starts again");
        assertTrue(scheduler
                .decide(new SchedulerEvent.JobSubmitted(job("j2", 1)), 4)
                .isEmpty());
    }

    private static WorkerSpec worker(String id, String rack) {
        return new WorkerSpec(new WorkerId(id), "suva-1", rack, PART.times(2), 1.0);
    }

    private static JobSpec job(String id, int parts) {
        Shape shape = new Shape(parts, PART, Adjacency.RACK);
        return new JobSpec(
                new JobId(id),
                new WorkspaceId("plans"),
                "bundle",
                shape,
                1000,
                true,
                true,
                Urgency.NORMAL,
                OptionalLong.empty());
    }
}
