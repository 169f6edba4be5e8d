package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

/** Guards against gangs whose members are started again from different checkpoints: all must carry the same value. */
public class GangCheckpointTest {

    private static Set<String> checkpoints(OwnerHarness harness, String job) {
        CellRecord.Progress progress = (CellRecord.Progress) harness.stored.get(CellRecord.Progress.PREFIX + job);
        List<CellRecord.TaskProgress> members = progress.steps().get(0);
        return members.stream().map(CellRecord.TaskProgress::checkpoint).collect(Collectors.toSet());
    }

    @Test
    public void keepsOneCheckpointForAllMembersOfAStoppedGang() {
        OwnerHarness harness = new OwnerHarness().workers(2);
        harness.gangsSynchronized = true;
        harness.headroomShare = 0;
        harness.guarantees = new Guarantees(Map.of(new WorkspaceId("ws"), 8));
        harness.takeOver().run(500);
        harness.submit("gang", 2, OwnerHarness.step(2, 8, 20_000, true, true)).run(3300);
        assertEquals(harness.runningCount(), 2);
        harness.submit("urgent", 0, OwnerHarness.tasks(1, 8, 5000)).run(2000);
        Set<String> kept = checkpoints(harness, "gang");
        assertFalse(kept.contains(""), "the members' checkpoints " + kept);
        assertEquals(kept.size(), 1, "the members' checkpoints " + kept);
    }
}
