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

    /** A worker accepted a part. */
    record PartTaken(long atMs, WorkerId worker, TaskId task, Resources resources) implements Observation {}

    /** A part started to run. */
    record PartRan(long atMs, WorkerId worker, TaskId task) implements Observation {}

    /** A part ended. A part on a worker that is lost or restarted ends as stopped. */
    record PartEnded(long atMs, WorkerId worker, TaskId task, TaskState state) implements Observation {}

    /** A caller submitted a job. */
    record Submitted(long atMs, JobId job, int caller, int variant) implements Observation {}

    /** A caller received an answer. */
    record Answered(long atMs, JobId job, int caller, int variant, NodeReply reply) implements Observation {}

    /** A request of a caller timed out. */
    record Unanswered(long atMs, JobId job, int caller) implements Observation {}

    /** A document version came into force on a node. */
    record DocumentInForce(long atMs, NodeId node, int version, String text) implements Observation {}

    /** An editor received the answer that its change is in force. */
    record DocumentAccepted(long atMs, int baseVersion, int version) implements Observation {}

    /** A worker is leaving; it must not receive new parts after {@link PromiseBounds#LEAVING_MS}. */
    record WorkerLeaving(long atMs, WorkerId worker) implements Observation {}

    /** The VM of a worker is back under the same name. */
    record WorkerBack(long atMs, WorkerId worker) implements Observation {}

    /** A node started and can reach the log. */
    record NodeUp(long atMs, NodeId node) implements Observation {}

    /** A node is terminated, or paused or unable to read the log until {@code untilMs}. */
    record NodeImpaired(long atMs, NodeId node, long untilMs) implements Observation {}

    /** The log cannot be read until {@code untilMs}. */
    record LogImpaired(long atMs, long untilMs) implements Observation {}

    /** A draining node reported completion, with the given number of requests unanswered. */
    record Drained(long atMs, NodeId node, int open) implements Observation {}

    /** A draining node did not report completion by the end of the schedule. */
    record NotDrained(long atMs, NodeId node) implements Observation {}

    /** A node took over the cell. */
    record CellActive(long atMs, NodeId node) implements Observation {}

    /** The node that owned the cell was killed. */
    record OwnerDied(long atMs, NodeId node) implements Observation {}
}
