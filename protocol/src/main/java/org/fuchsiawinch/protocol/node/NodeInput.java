package org.fuchsiawinch.protocol.node;

import java.util.List;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/** Input of the node state machine. */
public sealed interface NodeInput {

    /**
     * A record was read from the log. Records are read in order of offset.
     *
     * @param offset offset of the record
     * @param envelope the record
     */
    record RecordRead(long offset, Envelope envelope) implements NodeInput {}

    /**
     * A read found the end of the log.
     *
     * @param nextOffset offset that the next appended record will have
     */
    record LogEndReached(long nextOffset) implements NodeInput {}

    /**
     * A read found that the log dropped records that this node has not read.
     *
     * @param firstOffset offset of the oldest record in the log, which is the next record to be read
     */
    record LogGap(long firstOffset) implements NodeInput {}

    /**
     * The append in flight was acknowledged.
     *
     * @param firstSequence sequence number of the batch's first record
     */
    record AppendDone(long firstSequence) implements NodeInput {}

    /**
     * The append in flight failed or timed out. It may have taken effect.
     *
     * @param firstSequence sequence number of the batch's first record
     */
    record AppendFailed(long firstSequence) implements NodeInput {}

    /**
     * The platform's list of workers was read. The list lags behind the actual workers.
     *
     * @param workers all listed workers
     * @param leaving ids of the workers that are about to leave
     */
    record WorkersListed(List<WorkerSpec> workers, List<WorkerId> leaving) implements NodeInput {

        /**
         * Copies the lists.
         */
        public WorkersListed {
            workers = List.copyOf(workers);
            leaving = List.copyOf(leaving);
        }
    }

    /**
     * A worker replied to a command.
     *
     * @param worker the worker
     * @param epoch epoch of the command
     * @param reply the reply
     */
    record WorkerReplied(WorkerId worker, long epoch, WorkerReply reply) implements NodeInput {}

    /**
     * A caller submits a job. Submission is idempotent: the same job may be submitted any number of times, to any node.
     *
     * @param requestId id of the open request, unique on this node
     * @param job the job
     * @param payload input data of the job
     * @param waitMs time in ms to wait for the outcome; 0 to reply as soon as the job is accepted
     */
    record JobSubmit(long requestId, JobSpec job, byte[] payload, long waitMs) implements NodeInput {}

    /**
     * A caller looks up a job.
     *
     * @param requestId id of the open request, unique on this node
     * @param job the job
     * @param waitMs time in ms to wait for the outcome
     */
    record JobLookup(long requestId, JobId job, long waitMs) implements NodeInput {}

    /**
     * A caller cancels a job.
     *
     * @param requestId id of the open request, unique on this node
     * @param job the job
     */
    record JobCancel(long requestId, JobId job) implements NodeInput {}

    /**
     * An operator sets the first version of the document or proposes a change.
     *
     * @param requestId id of the open request, unique on this node
     * @param record the document record to append
     */
    record DocumentChange(long requestId, LogRecord record) implements NodeInput {}

    /**
     * Another node sent a copy of its document, which is adopted only while this node cannot read the log.
     *
     * @param copy the other node's copy
     */
    record PeerDocumentReceived(DocumentFold.DocumentCopy copy) implements NodeInput {}

    /** Time has passed. Sent several times a second. */
    record Tick() implements NodeInput {}

    /** The node is to stop: it releases its cell and completes open requests. */
    record Drain() implements NodeInput {}
}
