package org.fuchsiawinch.workflow;

import java.util.Optional;

import org.fuchsiawinch.workflow.job.JobPhase;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against lost, repeated or unstoppable runs after a change of owner, and against failures counted twice. */
public class TakeOverTest {

    @Test
    public void adoptsWhatRunsInsteadOfStartingItAgain() {
        OwnerRig rig = new OwnerRig().workers(4).takeOver().submit("job", 1, OwnerRig.tasks(4, 2, 5000));
        rig.run(1500);
        assertEquals(rig.running(), 4);
        rig.takeOver().run(8000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertEquals(rig.starts(), 4);
    }

    @Test
    public void stopsWorkWhoseCancellingTheEarlierOwnerNeverRead() {
        OwnerRig rig = new OwnerRig().workers(4).takeOver().submit("job", 1, OwnerRig.tasks(4, 2, 20_000));
        rig.run(1500);
        rig.owner = null;
        rig.cancel("job");
        rig.takeOver().run(1500);
        assertEquals(rig.running(), 0);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.CANCELLED));
    }

    @Test
    public void repeatsAStopThatAWorkerDidNotHear() {
        OwnerRig rig = new OwnerRig().workers(1).takeOver().submit("job", 1, OwnerRig.tasks(1, 2, 20_000));
        rig.run(1500);
        rig.owner = null;
        rig.cancel("job");
        FakeWorker worker = rig.workers.values().iterator().next();
        worker.silent = true;
        rig.takeOver().run(1000);
        worker.silent = false;
        rig.run(3500);
        assertEquals(rig.running(), 0);
    }

    @Test
    public void startsWhatTheEarlierOwnerStoredAndNeverOrdered() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        rig.submit("job", 1, OwnerRig.tasks(2, 2, 1000));
        rig.run(3);
        rig.takeOver().run(5000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
        assertTrue(rig.starts() <= 4);
    }

    @Test
    public void leavesTheCellWhenAWorkerKnowsAHigherEpoch() {
        OwnerRig rig = new OwnerRig().workers(2).takeOver();
        rig.run(500);
        rig.workers.values().forEach(worker -> worker.fence = 99);
        rig.run(3000);
        assertTrue(rig.steppedDown);
    }

    @Test
    public void countsAFailureOnceAlthoughItsEndIsListedToEachOwner() {
        OwnerRig rig = new OwnerRig().workers(1).takeOver();
        rig.run(500);
        FakeWorker worker = rig.workers.values().iterator().next();
        worker.failsAll = true;
        rig.submit("job", 1, OwnerRig.tasks(1, 1, 3000));
        rig.runUntil(() -> rig.stored.toString().contains("failures=1"));
        worker.failsAll = false;
        rig.takeOver().run(3);
        rig.takeOver().run(3);
        rig.takeOver().run(20_000);
        assertEquals(rig.phase("job"), Optional.of(JobPhase.COMPLETED));
    }
}
