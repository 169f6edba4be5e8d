package org.fuchsiawinch.golden;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;

/**
 * Caller of one job. A persistent caller repeats its request at the next node until it has the job's outcome. Not
 * thread-safe.
 */
final class Caller {

    private static final long RETRY_DELAY_MS = 200;
    private static final long WAIT_MS = 30_000;

    private final SessionRunner runner;
    private final String name;
    private final JobSpec job;
    private final byte[] payload;
    private final boolean persistent;
    private int node;

    Caller(SessionRunner runner, String name, int node, JobSpec job, byte[] payload, boolean persistent) {
        this.runner = runner;
        this.name = name;
        this.node = node;
        this.job = job;
        this.payload = payload;
        this.persistent = persistent;
    }

    /** Submits the job; the node replies with the outcome, or without one after {@link #WAIT_MS}. */
    void submit() {
        String details =
                MessageFormatter.job(job) + " payload=" + MessageFormatter.bytes(payload) + " wait-ms=" + WAIT_MS;
        runner.sendRequest(
                name,
                node,
                "job-submit",
                details,
                id -> new NodeInput.JobSubmit(id, job, payload, WAIT_MS),
                this::handleReply);
    }

    private void lookUp() {
        String details = "job=" + job.id() + " wait-ms=" + WAIT_MS;
        runner.sendRequest(
                name,
                node,
                "job-lookup",
                details,
                id -> new NodeInput.JobLookup(id, job.id(), WAIT_MS),
                this::handleReply);
    }

    private void handleReply(NodeReply reply) {
        if (!persistent
                || (reply instanceof NodeReply.Job known
                        && known.job().outcome().isPresent())) {
            return;
        }
        node = runner.nextRunningNode(node);
        // A job that is known to be accepted is looked up instead of submitted again.
        boolean accepted = reply instanceof NodeReply.Job || reply instanceof NodeReply.Pending;
        runner.queue().scheduleAfter(RETRY_DELAY_MS, accepted ? this::lookUp : this::submit);
    }
}
