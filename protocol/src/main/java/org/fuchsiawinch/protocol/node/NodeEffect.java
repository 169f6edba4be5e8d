package org.fuchsiawinch.protocol.node;

import java.util.List;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/** Something that a node wants done. */
public sealed interface NodeEffect {

    /**
     * Append records in one request; answered by {@code AppendDone} or {@code AppendFailed}.
     *
     * @param batch the records, at least one
     */
    record Append(List<Envelope> batch) implements NodeEffect {

        /**
         * Copies the list.
         */
        public Append {
            batch = List.copyOf(batch);
        }
    }

    /**
     * Send a command to a worker; it may get lost, and so may its answer.
     *
     * @param worker the worker
     * @param command the command
     */
    record Command(WorkerId worker, WorkerCommand command) implements NodeEffect {}

    /**
     * Answer an open request.
     *
     * @param requestId names the request
     * @param reply the answer
     */
    record Reply(long requestId, NodeReply reply) implements NodeEffect {}

    /**
     * Something that operators want to know.
     *
     * @param event the event
     */
    record Report(NodeEvent event) implements NodeEffect {}

    /** All is handed over and answered; the process may exit. */
    record Drained() implements NodeEffect {}
}
