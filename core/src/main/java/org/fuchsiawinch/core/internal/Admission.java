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
final class Admission {

    private final State state;
    private final GuaranteeClaimer claimer;
    private final Waiting waiting;

    Admission(State state, GuaranteeClaimer claimer, Waiting waiting) {
        this.state = state;
        this.claimer = claimer;
        this.waiting = waiting;
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
        waiting.add(job);
    }

    private Optional<Reason> refusal(Job job) {
        JobSpec spec = job.spec();
        Optional<WorkspacePolicy> rules = state.rules(spec.workspace());
        if (rules.isEmpty()) {
            return Optional.of(Reason.of(ReasonCode.END_UNKNOWN_WORKSPACE));
        }
        if (state.has(SchedulerFeature.QUOTA)
                && job.accelerators() > rules.get().acceleratorQuota()) {
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
        return state.has(SchedulerFeature.ADMISSION) ? overload(job, rules.get()) : Optional.empty();
    }

    private boolean neverAffordable(Job job) {
        WorkspaceLedger ledger = state.ledger(job.spec().workspace());
        if (!ledger.limited()) {
            return false;
        }
        Policy policy = state.policy().orElseThrow();
        long rate = policy.prices().acceleratorHourMicros();
        if (policy.lending().enabled() && job.spec().reclaimable()) {
            rate = Math.min(rate, policy.prices().lentAcceleratorHourMicros());
        }
        RunEstimate estimate = state.estimator.estimate(job, Math.max(1.0, state.pool.maxSpeed()));
        return !ledger.limitEverAllows(ledger.worst(rate * job.accelerators(), estimate.worstMs()));
    }

    private Optional<Reason> overload(Job job, WorkspacePolicy rules) {
        AdmissionPolicy bounds = state.policy().orElseThrow().admission();
        if (state.queue.size(job.spec().workspace()) >= rules.queueBound()) {
            return Optional.of(Reason.retryable(ReasonCode.END_WORKSPACE_QUEUE_FULL, bounds.retryAfterMs()));
        }
        if (state.queue.size() >= bounds.totalQueueBound() && !claimer.entitled(job)) {
            return Optional.of(Reason.retryable(ReasonCode.END_SYSTEM_QUEUE_FULL, bounds.retryAfterMs()));
        }
        return Optional.empty();
    }
}
