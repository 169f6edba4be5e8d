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

/** Something that reaches a node. */
public sealed interface NodeInput {

    /**
     * A record was read from the log, in order of offset.
     *
     * @param offset its offset
     * @param envelope the record
     */
    record RecordRead(long offset, Envelope envelope) implements NodeInput {}

    /**
     * A read found the end of the log.
     *
     * @param nextOffset offset of the next record that will be appended
     */
    record LogEndReached(long nextOffset) implements NodeInput {}

    /**
     * A read found that records were dropped which this node has not read.
     *
     * @param firstOffset offset of the oldest record that is kept; the next record read is this one
     */
    record LogGap(long firstOffset) implements NodeInput {}

    /**
     * The append in flight was acknowledged.
     *
     * @param firstSequence sequence of the batch's first record
     */
    record AppendDone(long firstSequence) implements NodeInput {}

    /**
     * The append in flight failed or timed out; it may have taken effect.
     *
     * @param firstSequence sequence of the batch's first record
     */
    record AppendFailed(long firstSequence) implements NodeInput {}

    /**
     * The platform's list of workers, which lags.
     *
     * @param workers all listed workers
     * @param leaving those that are about to leave
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
     * A worker answered a command.
     *
     * @param worker the worker
     * @param epoch epoch of the command that it answers
     * @param reply its answer
     */
    record WorkerReplied(WorkerId worker, long epoch, WorkerReply reply) implements NodeInput {}

    /**
     * A caller submits a job. The same job may be submitted any number of times, to any node.
     *
     * @param requestId names the open request on this node
     * @param job the job
     * @param payload what the work is told
     * @param waitMs time in ms to wait for the outcome; 0 answers once the job is accepted
     */
    record JobSubmit(long requestId, JobSpec job, byte[] payload, long waitMs) implements NodeInput {}

    /**
     * A caller asks for a job.
     *
     * @param requestId names the open request on this node
     * @param job the job
     * @param waitMs time in ms to wait for the outcome
     */
    record JobLookup(long requestId, JobId job, long waitMs) implements NodeInput {}

    /**
     * A caller cancels a job.
     *
     * @param requestId names the open request on this node
     * @param job the job
     */
    record JobCancel(long requestId, JobId job) implements NodeInput {}

    /**
     * An operator founds or changes the document.
     *
     * @param requestId names the open request on this node
     * @param record a document record
     */
    record DocumentChange(long requestId, LogRecord record) implements NodeInput {}

    /**
     * Another node offers its document; taken only while this node cannot read the log.
     *
     * @param copy the other node's copy
     */
    record PeerDocumentReceived(DocumentFold.DocumentCopy copy) implements NodeInput {}

    /** Time passed; sent several times a second. */
    record Tick() implements NodeInput {}

    /** The node is to stop: it gives up its cells and finishes open requests. */
    record Drain() implements NodeInput {}
}
