package org.fuchsiawinch.core.baseline;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against later jobs that delay the first blocked job because they run beyond its reserved start. */
public class BackfillSchedulerTest {

    private static final Resources PART = new Resources(1000, 1024, 1, 1, 1);

    private BackfillScheduler scheduler;

    @BeforeMethod
    public void oneWorkerHalfUsed() {
        scheduler = new BackfillScheduler();
        WorkerSpec worker = new WorkerSpec(new WorkerId("w1"), "suva-1", "r1", PART.times(4), 1.0);
        scheduler.decide(new SchedulerEvent.WorkerJoined(worker), 0);
        assertEquals(submit("running", 2, 10_000).size(), 1);
        assertTrue(submit("large", 4, 10_000).isEmpty());
    }

    @Test
    public void shortJobStartsAheadOfTheReservation() {
        assertEquals(submit("short", 2, 9_000).size(), 1);
    }

    @Test
    public void longJobThatWouldDelayTheReservationWaits() {
        assertTrue(submit("long", 1, 20_000).isEmpty());
    }

    @Test
    public void largeJobStartsWhenItsCapacityIsFree() {
        AttemptId running = new AttemptId(new JobId("running"), 1);
        scheduler.decide(new SchedulerEvent.TaskCompleted(new TaskId(running, 0)), 10_000);
        List<Decision> decisions = scheduler.decide(new SchedulerEvent.TaskCompleted(new TaskId(running, 1)), 10_000);
        assertEquals(
                ((Decision.StartGang) decisions.get(0)).attempt().job().value(), "large", "first in order of arrival");
    }

    @Test
    public void impossibleShapeWaitsWithoutBlockingOthers() {
        BackfillScheduler fresh = new BackfillScheduler();
        scheduler = fresh;
        WorkerSpec worker = new WorkerSpec(new WorkerId("w1"), "suva-1", "r1", PART.times(4), 1.0);
        fresh.decide(new SchedulerEvent.WorkerJoined(worker), 0);
        assertTrue(submit("impossible", 5, 1_000).isEmpty());
        assertEquals(submit("large", 4, 50_000).size(), 1);
        assertEquals(fresh.waitReason(new JobId("impossible"), 0).orElseThrow().code(), ReasonCode.WAIT_CAPACITY);
    }

    private List<Decision> submit(String id, int parts, long runMs) {
        JobSpec job = new JobSpec(
                new JobId(id),
                new WorkspaceId("plans"),
                "bundle",
                new Shape(parts, PART, Adjacency.RACK),
                runMs,
                true,
                false,
                Urgency.NORMAL,
                OptionalLong.empty());
        return scheduler.decide(new SchedulerEvent.JobSubmitted(job), 0);
    }
}
