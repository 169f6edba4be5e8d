package org.fuchsiawinch.core.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Shape;

/**
 * Dispatches each event to the component that handles it, then starts the jobs that fit. Not thread-safe.
 */
public final class Engine {

    private final State state;
    private final GuaranteeClaimer claimer;
    private final Reservations reservations;
    private final Waiting waiting;
    private final Starter starter;
    private final Promoter promoter;
    private final Overruns overruns;
    private final JobEndings endings;
    private final WorkerEvents workers;
    private final Admission admission;
    private final Recovery recovery;
    private final Explainer explainer;
    private final Defragmenter defragmenter;
    private final Escalation escalation;

    /**
     * Creates an engine without workers, jobs or policy.
     *
     * @param features the mechanisms to enable
     */
    public Engine(SchedulerFeatures features) {
        state = new State(features);
        claimer = new GuaranteeClaimer(state);
        reservations = new Reservations(state);
        waiting = new Waiting(state);
        Stopper stopper = new Stopper(state);
        overruns = new Overruns(state, stopper);
        starter = new Starter(state, claimer, reservations, stopper, overruns, waiting);
        promoter = new Promoter(state, starter);
        endings = new JobEndings(state, starter, stopper, overruns, reservations, waiting);
        workers = new WorkerEvents(state, starter, waiting, endings);
        admission = new Admission(state, claimer, waiting);
        recovery = new Recovery(state, starter, promoter, waiting, reservations);
        explainer = new Explainer(features);
        defragmenter = new Defragmenter(state, starter, reservations);
        escalation = new Escalation(state);
    }

    /**
     * Applies one event.
     *
     * @param event what happened
     * @param nowMs present time in ms since the epoch
     * @return the decisions, in the order in which they are to be carried out
     */
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        state.begin(nowMs);
        apply(event);
        settle();
        return state.decisions();
    }

    /**
     * Returns the reason for which a job waits.
     *
     * @param id the job
     * @param nowMs present time in ms since the epoch
     * @return the reason, or empty if the job is not waiting
     */
    public Optional<Reason> waitReason(JobId id, long nowMs) {
        Job job = state.jobs.get(id);
        if (job == null || job.attempt() != null) {
            return Optional.empty();
        }
        ReasonCode code =
                job.claim() != null ? ReasonCode.WAIT_RECLAIM : job.jobClass().waitCode();
        return Optional.of(explainer.waiting(code, job, state, reservations, nowMs));
    }

    private void apply(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.JobSubmitted submitted) {
            admission.submit(submitted.job());
        } else if (event instanceof SchedulerEvent.JobCancelled cancelled) {
            endings.cancel(cancelled.job());
        } else if (event instanceof SchedulerEvent.TaskCompleted completed) {
            endings.completed(completed.task());
        } else if (event instanceof SchedulerEvent.TaskFailed failed) {
            endings.failed(failed.task(), failed.failure());
        } else if (event instanceof SchedulerEvent.AttemptWithdrawn withdrawn) {
            endings.withdrawn(withdrawn);
        } else if (event instanceof SchedulerEvent.AttemptStopped stopped) {
            endings.stopped(stopped);
        } else if (event instanceof SchedulerEvent.AttemptRecovered recovered) {
            recovery.recover(recovered);
        } else if (event instanceof SchedulerEvent.UsageReported usage) {
            state.attempt(usage.task().attempt())
                    .ifPresent(attempt -> overruns.memory(attempt, usage.used().memoryMb()));
        } else if (event instanceof SchedulerEvent.PolicyChanged changed) {
            changePolicy(changed.policy());
        } else if (event instanceof SchedulerEvent.Tick) {
            tick();
        } else {
            applyToWorkers(event);
        }
    }

    private void applyToWorkers(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.WorkerJoined joined) {
            workers.joined(joined.worker());
        } else if (event instanceof SchedulerEvent.WorkerLeaving leaving) {
            workers.leaving(leaving.worker());
        } else if (event instanceof SchedulerEvent.WorkerUnreachable unreachable) {
            workers.inDoubt(unreachable.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            workers.lost(lost.worker());
        } else if (event instanceof SchedulerEvent.ProbeEnded ended) {
            workers.probeEnded(ended.worker(), ended.healthy());
        }
    }

    private void changePolicy(Policy policy) {
        for (Claim claim : List.copyOf(state.claims)) {
            starter.abandon(claim);
            waiting.add(claim.job());
        }
        state.policy(policy);
        state.placer.objective(policy.objective(), largestShape(policy));
        state.victims.lending(policy.lending());
        state.estimator.policy(policy.estimates());
        state.faults.policy(policy.faults());
        new TreeMap<>(policy.workspaces())
                .forEach((workspace, rules) -> state.ledger(workspace).rules(rules, state.nowMs()));
        state.keeper.policy(policy);
        state.promotable.addAll(policy.workspaces().keySet());
        workers.raiseAlarms(unit -> unit.lost() || state.pool.joinedCount() > 0);
        for (Job job : state.queue.jobs()) {
            if (!policy.workspaces().containsKey(job.spec().workspace())) {
                endings.endWaiting(job, Reason.of(ReasonCode.END_UNKNOWN_WORKSPACE));
            }
        }
        state.capacityGrew();
    }

    private static Optional<Shape> largestShape(Policy policy) {
        return policy.workspaces().values().stream()
                .flatMap(rules -> rules.guarantees().stream())
                .map(Guarantee::shape)
                .max(Comparator.comparingInt(Shape::accelerators)
                        .thenComparing(Shape::adjacency)
                        .thenComparing(Shape::toString));
    }

    private void tick() {
        for (Job job : waiting.expired()) {
            endings.endWaiting(job, Reason.of(ReasonCode.END_DEADLINE));
        }
        overruns.tick();
        workers.sendDueProbes();
        state.keeper.placeMissing();
        workers.raiseAlarms(unit -> true);
        escalation.tick();
        defragmenter.tick();
        state.faults.forgetStale(state.nowMs());
        reservations.review();
        state.capacityGrew();
    }

    private void settle() {
        workers.quarantineSuspects();
        workers.raiseLossAlarms();
        promoter.run();
        starter.startClaimed();
        boolean grew = true;
        while (grew) {
            if (state.takeCapacityGrew()) {
                state.queue.capacityGrew(this::mayFit);
            }
            startGuaranteed();
            startReserved();
            startOthers();
            reservations.reserve();
            defragmenter.run();
            grew = state.capacityHasGrown();
        }
    }

    private boolean mayFit(JobClass group) {
        return group.waitCode() != ReasonCode.WAIT_CAPACITY
                || !state.placer.knownMisfit(group.fitKey())
                || claimer.hasRoom(group.key());
    }

    /** Starts jobs inside guarantees, before other jobs can use the capacity. */
    private void startGuaranteed() {
        for (JobClass group : state.queue.ready()) {
            if (!claimer.hasRoom(group.key())) {
                continue;
            }
            boolean started = true;
            while (started && !group.jobs().isEmpty()) {
                started = starter.tryGuaranteed(group.first());
            }
        }
    }

    /** Starts the job with the reservation if it fits, before other jobs can use capacity that became free. */
    private void startReserved() {
        reservations
                .current()
                .map(Reservations.Reservation::job)
                .filter(job -> job.jobClass() != null && !job.jobClass().blocked())
                .ifPresent(this::startOrBlock);
    }

    private void startOthers() {
        while (!state.capacityHasGrown()) {
            Optional<Job> next = state.queue.next();
            if (next.isEmpty()) {
                return;
            }
            startOrBlock(next.get());
        }
    }

    private void startOrBlock(Job job) {
        JobClass group = job.jobClass();
        Optional<ReasonCode> wait = starter.tryStart(job);
        if (wait.isEmpty()) {
            return;
        }
        state.queue.block(group, wait.get());
        if (!Reservations.forCapacity(wait.get()) && wait.get() != ReasonCode.WAIT_RESERVATION) {
            reservations.drop(job);
        }
    }
}
