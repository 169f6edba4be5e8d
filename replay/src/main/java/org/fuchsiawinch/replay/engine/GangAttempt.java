package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.replay.trace.TraceJob;

/** State of one attempt on its workers. Not thread-safe. */
final class GangAttempt {

    /** State of the attempt as a whole. */
    enum State {
        /** The start is decided; no part has been released. */
        STARTING,
        /** All parts have been released. */
        RUNNING,
        /** The progress is being saved. */
        CHECKPOINTING,
        /** Released parts end as soon as their workers are reachable. */
        STOPPING,
        /** All parts have ended. */
        CLOSED
    }

    /** State of one part. */
    enum PartState {
        /** Not released yet. */
        AWAITING_RELEASE,
        /** Running. */
        RUNNING,
        /** Completed; the result has not been reported to the scheduler yet. */
        UNREPORTED,
        /** Ended. */
        ENDED
    }

    final AttemptId id;
    final TraceJob job;
    final List<Placement> placements;
    final PartState[] parts;
    State state = State.STARTING;
    boolean broken;
    boolean stopRequested;
    boolean resultDelivered;
    int reportedParts;
    int generation;
    long startedMs;
    double speed;

    GangAttempt(AttemptId id, TraceJob job, List<Placement> placements) {
        this.id = id;
        this.job = job;
        this.placements = placements;
        this.parts = new PartState[placements.size()];
        Arrays.fill(parts, PartState.AWAITING_RELEASE);
    }

    TaskId task(int index) {
        return new TaskId(id, placements.get(index).part());
    }

    boolean allParts(PartState wanted) {
        for (PartState part : parts) {
            if (part != wanted) {
                return false;
            }
        }
        return true;
    }

    List<Integer> partsIn(PartState wanted) {
        List<Integer> found = new ArrayList<>();
        for (int index = 0; index < parts.length; index++) {
            if (parts[index] == wanted) {
                found.add(index);
            }
        }
        return found;
    }

    double progressMs(long nowMs) {
        return (nowMs - startedMs) * speed;
    }
}
