package org.fuchsiawinch.explore;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.worker.TaskState;

/** Observation made outside the nodes. Times are virtual, in ms since the start of the schedule. */
sealed interface Observation {

    long atMs();

    /** Acceptance of a part by a worker, with the resources that it holds there. */
    record PartTaken(long atMs, WorkerId worker, TaskId task, Resources resources) implements Observation {}

    /** Start of the run of a part. */
    record PartRan(long atMs, WorkerId worker, TaskId task) implements Observation {}

    /** End of a part. A part on a worker that is lost or restarted ends as stopped. */
    record PartEnded(long atMs, WorkerId worker, TaskId task, TaskState state) implements Observation {}

    /** Submission of a job by a caller, with the variant of its payload. */
    record Submitted(long atMs, JobId job, int caller, int variant) implements Observation {}

    /** Answer received by a caller. */
    record Answered(long atMs, JobId job, int caller, int variant, NodeReply reply) implements Observation {}

    /** Timeout of a request of a caller. */
    record Unanswered(long atMs, JobId job, int caller) implements Observation {}

    /** Document version that came into force on a node. */
    record DocumentInForce(long atMs, NodeId node, int version, String text) implements Observation {}

    /** Answer to an editor that its change is in force. */
    record DocumentAccepted(long atMs, int baseVersion, int version) implements Observation {}

    /** Leave of a worker; it must not receive new parts after {@link PromiseBounds#LEAVING_MS}. */
    record WorkerLeaving(long atMs, WorkerId worker) implements Observation {}

    /** Return of the VM of a worker that had left, under the same name. */
    record WorkerBack(long atMs, WorkerId worker) implements Observation {}

    /** Start of a node, which can reach the log. */
    record NodeUp(long atMs, NodeId node) implements Observation {}

    /** Impairment of a node: terminated, or paused or unable to read the log until {@code untilMs}. */
    record NodeImpaired(long atMs, NodeId node, long untilMs) implements Observation {}

    /** Impairment of the log, which is unavailable or slow until {@code untilMs}. */
    record LogImpaired(long atMs, long untilMs) implements Observation {}

    /** Completion reported by a draining node, with the number of requests left unanswered. */
    record Drained(long atMs, NodeId node, int open) implements Observation {}

    /** Drain that did not complete by the end of the schedule. */
    record NotDrained(long atMs, NodeId node) implements Observation {}

    /** Takeover of the cell by a node. */
    record CellActive(long atMs, NodeId node) implements Observation {}

    /** Kill of the node that owned the cell. */
    record OwnerDied(long atMs, NodeId node) implements Observation {}
}
