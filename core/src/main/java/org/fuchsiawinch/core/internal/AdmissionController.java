package org.fuchsiawinch.core.internal;

import java.util.Optional;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspacePolicy;

/** Admits submitted jobs to the queue or refuses them with a reason. Not thread-safe. */
final class AdmissionController {

    private final SchedulerState state;
    private final GuaranteeAllocator allocator;
    private final JobEnqueuer enqueuer;

    AdmissionController(SchedulerState state, GuaranteeAllocator allocator, JobEnqueuer enqueuer) {
        this.state = state;
        this.allocator = allocator;
        this.enqueuer = enqueuer;
    }

    /** Queues or refuses a job; ignores a job that is already known. */
    void submit(JobSpec spec) {
        if (state.jobs.containsKey(spec.id())) {
            return;
        }
        Job job = new Job(spec, state.nextSequence(), state.nowMs());
        Optional<Reason> refusal = refusal(job);
        if (refusal.isPresent()) {
            state.emit(new Decision.EndJob(spec.id(), false, refusal.get()));
            return;
        }
        state.jobs.put(spec.id(), job);
        enqueuer.add(job);
    }

    private Optional<Reason> refusal(Job job) {
        JobSpec spec = job.spec();
        Optional<WorkspacePolicy> policy = state.workspacePolicy(spec.workspace());
        if (policy.isEmpty()) {
            return Optional.of(Reason.of(ReasonCode.END_UNKNOWN_WORKSPACE));
        }
        if (state.has(SchedulerFeature.QUOTA)
                && job.accelerators() > policy.get().acceleratorQuota()) {
            return Optional.of(Reason.of(ReasonCode.END_OVER_QUOTA));
        }
        if (state.has(SchedulerFeature.IMPOSSIBLE_CHECK) && !state.pool.couldHold(spec.shape())) {
            return Optional.of(Reason.of(ReasonCode.END_IMPOSSIBLE_SHAPE));
        }
        if (spec.deadlineMs().isPresent() && spec.deadlineMs().getAsLong() <= state.nowMs()) {
            return Optional.of(Reason.of(ReasonCode.END_DEADLINE));
        }
        if (state.has(SchedulerFeature.SPEND_LIMIT) && neverAffordable(job)) {
            return Optional.of(Reason.of(ReasonCode.END_OVER_SPEND_LIMIT));
        }
        return state.has(SchedulerFeature.ADMISSION) ? queueFull(job, policy.get()) : Optional.empty();
    }

    private boolean neverAffordable(Job job) {
        WorkspaceLedger ledger = state.ledger(job.spec().workspace());
        if (!ledger.hasSpendLimit()) {
            return false;
        }
        Policy policy = state.policy().orElseThrow();
        long rate = policy.prices().acceleratorHourMicros();
        if (policy.lending().enabled() && job.spec().reclaimable()) {
            rate = Math.min(rate, policy.prices().lentAcceleratorHourMicros());
        }
        RunEstimate estimate = state.estimator.estimate(job, Math.max(1.0, state.pool.maxSpeed()));
        return !ledger.spendLimitEverAllows(ledger.worstCaseMicros(rate * job.accelerators(), estimate.worstCaseMs()));
    }

    private Optional<Reason> queueFull(Job job, WorkspacePolicy policy) {
        AdmissionPolicy bounds = state.policy().orElseThrow().admission();
        if (state.queue.size(job.spec().workspace()) >= policy.queueBound()) {
            return Optional.of(Reason.retryable(ReasonCode.END_WORKSPACE_QUEUE_FULL, bounds.retryAfterMs()));
        }
        if (state.queue.size() >= bounds.totalQueueBound() && !allocator.hasCapacityFor(job)) {
            return Optional.of(Reason.retryable(ReasonCode.END_SYSTEM_QUEUE_FULL, bounds.retryAfterMs()));
        }
        return Optional.empty();
    }
}
