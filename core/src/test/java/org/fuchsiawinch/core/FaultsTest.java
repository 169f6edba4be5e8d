package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.Cell.job;
import static org.fuchsiawinch.core.Cell.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class FaultsTest {

    private static final long MINUTE_MS = 60_000;

    private static Cell cell(SchedulerFeature off) {
        return Cell.with(off).policy(Map.of("a", workspace()));
    }

    private static Cell failsThree(SchedulerFeature off) {
        Cell cell = cell(off).workers(1, 8);
        for (int i = 0; i < 3; i++) {
            cell.submit(job("j" + i, "a", 1)).fail("j" + i, TaskFailure.WORK_FAILED);
        }
        return cell;
    }

    @Test
    public void workerThatFailsDifferentJobsIsQuarantinedProbedAndReturned() {
        Cell cell = failsThree(null);
        assertEquals(cell.decisions(Decision.QuarantineWorker.class).size(), 1);
        cell.submit(job("next", "a", 1));
        assertFalse(cell.runs("next"));

        assertEquals(probes(cell, MINUTE_MS), 1);
        assertEquals(probes(cell, MINUTE_MS + 1), 0, "one probe at a time");
        cell.send(new SchedulerEvent.ProbeEnded(new WorkerId("w0"), false));
        assertEquals(probes(cell, 3 * MINUTE_MS), 0, "the delay has doubled");
        assertEquals(probes(cell, 3 * MINUTE_MS + 1), 1);
        cell.send(new SchedulerEvent.ProbeEnded(new WorkerId("w0"), true));
        assertTrue(cell.runs("next"));

        assertTrue(failsThree(SchedulerFeature.QUARANTINE)
                .submit(job("next", "a", 1))
                .runs("next"));
    }

    private static int probes(Cell cell, long ms) {
        return cell.tick(ms).decisions(Decision.ProbeWorker.class).size();
    }

    @Test
    public void quarantineOutlastsALoss() {
        Cell cell = failsThree(null).lose("w0").workers(1, 8).submit(job("next", "a", 1));
        assertFalse(cell.runs("next"));
    }

    @Test
    public void poisonJobEndsAfterFailingOnDifferentWorkers() {
        Cell cell = poison(null);
        assertEquals(cell.end().orElseThrow().reason().code(), ReasonCode.END_POISON);
        assertTrue(cell.end().orElseThrow().ran());
        assertFalse(poison(SchedulerFeature.POISON).end().isPresent());
    }

    /** Fails one job on three workers on which other jobs have completed. */
    private static Cell poison(SchedulerFeature off) {
        Cell cell = cell(off).workers(4, 1);
        for (int i = 0; i < 4; i++) {
            cell.submit(job("good" + i, "a", 1));
        }
        for (int i = 0; i < 4; i++) {
            cell.complete("good" + i);
        }
        cell.submit(job("bad", "a", 1));
        for (int i = 0; i < 3; i++) {
            cell.fail("bad", TaskFailure.WORK_FAILED).stopped("bad", false);
        }
        return cell;
    }

    @Test
    public void jobIsTriedOnAnotherWorker() {
        Cell cell = cell(null).workers(2, 1).submit(job("j", "a", 1));
        String first = cell.workersOf("j").get(0);
        cell.fail("j", TaskFailure.START_REFUSED).stopped("j", false);
        assertFalse(cell.workersOf("j").contains(first));
    }

    @Test
    public void jobReturnsToAWorkerItFailedOnIfThereIsNoOther() {
        Cell cell = cell(null).workers(1, 1).submit(job("j", "a", 1));
        cell.fail("j", TaskFailure.WORK_FAILED).stopped("j", false);
        assertTrue(cell.runs("j"));
    }

    @Test
    public void faultyWorkersDoNotMakeAJobPoison() {
        Cell cell = cell(null).workers(4, 8);
        for (int i = 0; i < 3; i++) {
            for (int other = 0; other < 2; other++) {
                String id = "other" + i + "-" + other;
                cell.submit(job(id, "a", 8)).fail(id, TaskFailure.WORK_FAILED).stopped(id, false);
                cell.complete(id);
            }
        }
        cell.submit(job("j", "a", 8));
        for (int i = 0; i < 3 && cell.runs("j"); i++) {
            cell.fail("j", TaskFailure.WORK_FAILED).stopped("j", false);
        }
        assertTrue(cell.end().isEmpty());
    }
}
