package org.fuchsiawinch.protocol.node;

import java.util.List;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/** Effect that the node state machine requests of its environment. */
public sealed interface NodeEffect {

    /**
     * Append of records to the log in one request. Answered by {@code AppendDone} or {@code AppendFailed}.
     *
     * @param batch the records, at least one
     */
    record Append(List<Envelope> batch) implements NodeEffect {

        /**
         * Copies the batch.
         */
        public Append {
            batch = List.copyOf(batch);
        }
    }

    /**
     * Command to a worker. The command and its reply may be lost.
     *
     * @param worker the worker
     * @param command the command
     */
    record Command(WorkerId worker, WorkerCommand command) implements NodeEffect {}

    /**
     * Reply to an open request.
     *
     * @param requestId id of the request
     * @param reply the reply
     */
    record Reply(long requestId, NodeReply reply) implements NodeEffect {}

    /**
     * Report of an event to operators.
     *
     * @param event the event
     */
    record Report(NodeEvent event) implements NodeEffect {}

    /**
     * Signal that the node has released its cell, if it owned it, and replied to all requests, so that the process may
     * exit.
     */
    record Drained() implements NodeEffect {}
}
