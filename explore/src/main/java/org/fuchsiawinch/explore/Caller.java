package org.fuchsiawinch.explore;

import java.util.Optional;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;

/** Simulated caller that submits a job and retries until it gets the outcome or a final refusal. Not thread-safe. */
final class Caller {

    private static final long REQUEST_TIMEOUT_MS = 7000;
    private static final long RETRY_DELAY_MS = 700;
    private static final long LONG_POLL_MS = 3000;

    private final Simulation simulation;
    private final JobPlan plan;
    /** The plan's job with its deadline as Unix time in ms. */
    private final JobSpec spec;

    private final int number;
    private final int variant;
    private long pendingRequest;
    private boolean accepted;
    private boolean settled;

    Caller(Simulation simulation, JobPlan plan, JobSpec spec, int number, int variant) {
        this.simulation = simulation;
        this.plan = plan;
        this.spec = spec;
        this.number = number;
        this.variant = variant;
    }

    void sendRequest() {
        if (settled) {
            return;
        }
        Optional<SimNode> node = simulation.pickAvailableNode();
        if (node.isEmpty()) {
            simulation.loop().scheduleAfter(RETRY_DELAY_MS, this::sendRequest);
            return;
        }
        long id = simulation.newRequest();
        pendingRequest = id;
        // The request's id decides on the kind of request, so that lookups, resubmissions and long polls all occur.
        NodeInput input = accepted && id % 3 == 0
                ? new NodeInput.JobLookup(id, spec.id(), LONG_POLL_MS)
                : new NodeInput.JobSubmit(id, spec, plan.payload(variant), id % 2 == 0 ? LONG_POLL_MS : 0);
        if (input instanceof NodeInput.JobSubmit) {
            simulation.observe(new Observation.Submitted(simulation.loop().nowMs(), spec.id(), number, variant));
        }
        node.get().request(id, input, reply -> onReply(id, reply));
        simulation.loop().scheduleAfter(REQUEST_TIMEOUT_MS, () -> onTimeout(id));
    }

    void cancel() {
        Optional<SimNode> node = simulation.pickAvailableNode();
        if (node.isEmpty()) {
            return;
        }
        long id = simulation.newRequest();
        node.get().request(id, new NodeInput.JobCancel(id, spec.id()), reply -> {});
    }

    private void onTimeout(long id) {
        if (id != pendingRequest) {
            return;
        }
        simulation.observe(new Observation.Unanswered(simulation.loop().nowMs(), spec.id(), number));
        sendRequest();
    }

    private void onReply(long id, NodeReply reply) {
        simulation.observe(new Observation.Answered(simulation.loop().nowMs(), spec.id(), number, variant, reply));
        if (id != pendingRequest) {
            return;
        }
        pendingRequest = 0;
        if (isFinal(reply)) {
            settled = true;
            return;
        }
        accepted |= reply instanceof NodeReply.Job;
        simulation.loop().scheduleAfter(RETRY_DELAY_MS, this::sendRequest);
    }

    private static boolean isFinal(NodeReply reply) {
        if (reply instanceof NodeReply.Job job) {
            return job.job().status() == JobStatus.FINISHED;
        }
        if (reply instanceof NodeReply.Refused refused) {
            return refused.code() == NodeReply.RefusalCode.KEY_REUSED
                    || refused.code() == NodeReply.RefusalCode.DEADLINE
                    || refused.code() == NodeReply.RefusalCode.UNKNOWN_WORKSPACE;
        }
        return false;
    }
}
