package org.fuchsiawinch.core;

import java.util.Map;

import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.WorkerId;
import org.testng.annotations.Test;

import static org.fuchsiawinch.core.SchedulerFixture.job;
import static org.fuchsiawinch.core.SchedulerFixture.workspace;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against confusing faulty workers with poison jobs, whose single failures look the same, and against work on
 * quarantined workers.
 */
public class FaultsTest {

    private static final long MINUTE_MS = 60_000;

    private static SchedulerFixture fixture(SchedulerFeature off) {
        return SchedulerFixture.disabling(off).policy(Map.of("a", workspace()));
    }

    private static SchedulerFixture afterThreeFailures(SchedulerFeature off) {
        SchedulerFixture fixture = fixture(off).workers(1, 8);
        for (int i = 0; i < 3; i++) {
            fixture.submit(job("j" + i, "a", 1)).fail("j" + i, TaskFailure.WORK_FAILED);
        }
        return fixture;
    }

    @Test
    public void workerThatFailsDifferentJobsIsQuarantinedProbedAndReturned() {
        SchedulerFixture fixture = afterThreeFailures(null);
        assertEquals(fixture.decisions(Decision.QuarantineWorker.class).size(), 1);
        fixture.submit(job("next", "a", 1));
        assertFalse(fixture.runs("next"));

        assertEquals(probes(fixture, MINUTE_MS), 1);
        assertEquals(probes(fixture, MINUTE_MS + 1), 0, "one probe at a time");
        fixture.send(new SchedulerEvent.ProbeEnded(new WorkerId("w0"), false));
        assertEquals(probes(fixture, 3 * MINUTE_MS), 0, "the delay has doubled");
        assertEquals(probes(fixture, 3 * MINUTE_MS + 1), 1);
        fixture.send(new SchedulerEvent.ProbeEnded(new WorkerId("w0"), true));
        assertTrue(fixture.runs("next"));

        assertTrue(afterThreeFailures(SchedulerFeature.QUARANTINE)
                .submit(job("next", "a", 1))
                .runs("next"));
    }

    private static int probes(SchedulerFixture fixture, long ms) {
        return fixture.tick(ms).decisions(Decision.ProbeWorker.class).size();
    }

    @Test
    public void quarantineOutlastsLossOfTheWorker() {
        SchedulerFixture fixture =
                afterThreeFailures(null).loseWorker("w0").workers(1, 8).submit(job("next", "a", 1));
        assertFalse(fixture.runs("next"));
    }

    @Test
    public void poisonJobEndsAfterFailingOnDifferentWorkers() {
        SchedulerFixture fixture = afterPoisonJob(null);
        assertEquals(fixture.end().orElseThrow().reason().code(), ReasonCode.END_POISON);
        assertTrue(fixture.end().orElseThrow().ran());
        assertFalse(afterPoisonJob(SchedulerFeature.POISON).end().isPresent());
    }

    /** Fails one job on three workers on which other jobs have completed. */
    private static SchedulerFixture afterPoisonJob(SchedulerFeature off) {
        SchedulerFixture fixture = fixture(off).workers(4, 1);
        for (int i = 0; i < 4; i++) {
            fixture.submit(job("good" + i, "a", 1));
        }
        for (int i = 0; i < 4; i++) {
            fixture.complete("good" + i);
        }
        fixture.submit(job("bad", "a", 1));
        for (int i = 0; i < 3; i++) {
            fixture.fail("bad", TaskFailure.WORK_FAILED).stopped("bad", false);
        }
        return fixture;
    }

    @Test
    public void failedJobIsRetriedOnAnotherWorker() {
        SchedulerFixture fixture = fixture(null).workers(2, 1).submit(job("j", "a", 1));
        String first = fixture.workersOf("j").get(0);
        fixture.fail("j", TaskFailure.START_REFUSED).stopped("j", false);
        assertFalse(fixture.workersOf("j").contains(first));
    }

    @Test
    public void failedJobReturnsToItsWorkerIfThereIsNoOther() {
        SchedulerFixture fixture = fixture(null).workers(1, 1).submit(job("j", "a", 1));
        fixture.fail("j", TaskFailure.WORK_FAILED).stopped("j", false);
        assertTrue(fixture.runs("j"));
    }

    @Test
    public void faultyWorkersDoNotMakeAJobPoison() {
        SchedulerFixture fixture = fixture(null).workers(4, 8);
        for (int i = 0; i < 3; i++) {
            for (int other = 0; other < 2; other++) {
                String id = "other" + i + "-" + other;
                fixture.submit(job(id, "a", 8))
                        .fail(id, TaskFailure.WORK_FAILED)
                        .stopped(id, false);
                fixture.complete(id);
            }
        }
        fixture.submit(job("j", "a", 8));
        for (int i = 0; i < 3 && fixture.runs("j"); i++) {
            fixture.fail("j", TaskFailure.WORK_FAILED).stopped("j", false);
        }
        assertTrue(fixture.end().isEmpty());
    }
}
