package org.fuchsiawinch.explore;

import java.util.Optional;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;

/** A caller that asks until it knows how its job ended. Not thread-safe. */
final class Caller {

    private static final long TIMEOUT_MS = 7000;
    private static final long RETRY_MS = 700;
    private static final long WAIT_MS = 3000;

    private final World world;
    private final JobPlan plan;
    private final JobSpec spec;
    private final int number;
    private final int variant;
    private long request;
    private boolean accepted;
    private boolean settled;

    Caller(World world, JobPlan plan, JobSpec spec, int number, int variant) {
        this.world = world;
        this.plan = plan;
        this.spec = spec;
        this.number = number;
        this.variant = variant;
    }

    void ask() {
        if (settled) {
            return;
        }
        Optional<SimNode> node = world.someNode();
        if (node.isEmpty()) {
            world.loop().in(RETRY_MS, this::ask);
            return;
        }
        long id = world.newRequest();
        request = id;
        NodeInput input = accepted && id % 3 == 0
                ? new NodeInput.JobLookup(id, spec.id(), WAIT_MS)
                : new NodeInput.JobSubmit(id, spec, plan.payload(variant), id % 2 == 0 ? WAIT_MS : 0);
        if (input instanceof NodeInput.JobSubmit) {
            world.observe(new Observation.Submitted(world.loop().nowMs(), spec.id(), number, variant));
        }
        node.get().request(id, input, reply -> answered(id, reply));
        world.loop().in(TIMEOUT_MS, () -> timedOut(id));
    }

    void cancel() {
        Optional<SimNode> node = world.someNode();
        if (node.isEmpty()) {
            return;
        }
        long id = world.newRequest();
        node.get().request(id, new NodeInput.JobCancel(id, spec.id()), reply -> {});
    }

    private void timedOut(long id) {
        if (id != request) {
            return;
        }
        world.observe(new Observation.Unanswered(world.loop().nowMs(), spec.id(), number));
        ask();
    }

    private void answered(long id, NodeReply reply) {
        world.observe(new Observation.Answered(world.loop().nowMs(), spec.id(), number, variant, reply));
        if (id != request) {
            return;
        }
        request = 0;
        if (settles(reply)) {
            settled = true;
            return;
        }
        accepted |= reply instanceof NodeReply.Job;
        world.loop().in(RETRY_MS, this::ask);
    }

    private static boolean settles(NodeReply reply) {
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
