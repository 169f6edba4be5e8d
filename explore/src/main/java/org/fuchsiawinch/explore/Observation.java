package org.fuchsiawinch.explore;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.worker.TaskState;

/** Something that was seen from outside the nodes. Times are virtual, in ms since the start of the schedule. */
sealed interface Observation {

    long atMs();

    /** A worker took a part in. */
    record PartTaken(long atMs, WorkerId worker, TaskId task, Resources resources) implements Observation {}

    /** A part began to run. */
    record PartRan(long atMs, WorkerId worker, TaskId task) implements Observation {}

    /** A part ended; a part on a worker that is lost or restarts ends as stopped. */
    record PartEnded(long atMs, WorkerId worker, TaskId task, TaskState state) implements Observation {}

    /** A caller submitted a job. */
    record Submitted(long atMs, JobId job, int caller, int variant) implements Observation {}

    /** A caller got an answer. */
    record Answered(long atMs, JobId job, int caller, int variant, NodeReply reply) implements Observation {}

    /** A caller gave up waiting for an answer to one request. */
    record Unanswered(long atMs, JobId job, int caller) implements Observation {}

    /** A document version came into force on a node. */
    record DocumentInForce(long atMs, NodeId node, int version, String text) implements Observation {}

    /** An editor was told that its change is in force. */
    record DocumentAccepted(long atMs, int baseVersion, int version) implements Observation {}

    /** A worker is about to leave, and may get no new parts after a bound. */
    record WorkerLeaving(long atMs, WorkerId worker) implements Observation {}

    /** A worker's VM is back under the same name. */
    record WorkerBack(long atMs, WorkerId worker) implements Observation {}

    /** A node came up and can reach the log. */
    record NodeUp(long atMs, NodeId node) implements Observation {}

    /** A node is down for good, or cannot read the log or does not run until {@code untilMs}. */
    record NodeImpaired(long atMs, NodeId node, long untilMs) implements Observation {}

    /** The log cannot be read until {@code untilMs}. */
    record LogImpaired(long atMs, long untilMs) implements Observation {}

    /** A stopping node said that it is done, with requests left open. */
    record Drained(long atMs, NodeId node, int open) implements Observation {}

    /** A stopping node never said that it is done. */
    record NotDrained(long atMs, NodeId node) implements Observation {}

    /** A node has taken a cell over. */
    record CellActive(long atMs, NodeId node) implements Observation {}

    /** The node that scheduled the cell died. */
    record OwnerDied(long atMs, NodeId node) implements Observation {}
}
