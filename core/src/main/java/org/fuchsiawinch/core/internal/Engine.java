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

    private final SchedulerState state;
    private final GuaranteeAllocator allocator;
    private final Reservations reservations;
    private final JobEnqueuer enqueuer;
    private final JobStarter starter;
    private final AttemptPromoter promoter;
    private final OverrunMonitor overrunMonitor;
    private final JobEndHandler endHandler;
    private final WorkerEventHandler workers;
    private final AdmissionController admission;
    private final AttemptRecovery recovery;
    private final ReasonBuilder reasonBuilder;
    private final Defragmenter defragmenter;
    private final ReclaimEscalator escalator;

    /**
     * Creates an engine without workers, jobs or policy.
     *
     * @param features the mechanisms to enable
     */
    public Engine(SchedulerFeatures features) {
        state = new SchedulerState(features);
        allocator = new GuaranteeAllocator(state);
        reservations = new Reservations(state);
        enqueuer = new JobEnqueuer(state);
        AttemptStopper stopper = new AttemptStopper(state);
        overrunMonitor = new OverrunMonitor(state, stopper);
        starter = new JobStarter(state, allocator, reservations, stopper, overrunMonitor, enqueuer);
        promoter = new AttemptPromoter(state, starter);
        endHandler = new JobEndHandler(state, starter, stopper, overrunMonitor, reservations, enqueuer);
        workers = new WorkerEventHandler(state, starter, enqueuer, endHandler);
        admission = new AdmissionController(state, allocator, enqueuer);
        recovery = new AttemptRecovery(state, starter, promoter, enqueuer, reservations);
        reasonBuilder = new ReasonBuilder(features);
        defragmenter = new Defragmenter(state, starter, reservations);
        escalator = new ReclaimEscalator(state);
    }

    /**
     * Applies one event.
     *
     * @param event what happened
     * @param nowMs present time in ms since the Unix epoch
     * @return the decisions, in the order in which they are to be carried out
     */
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        state.beginEvent(nowMs);
        apply(event);
        startJobs();
        return state.decisions();
    }

    /**
     * Returns the reason for which a job waits.
     *
     * @param id the job
     * @param nowMs present time in ms since the Unix epoch
     * @return the reason, or empty if the job is not waiting
     */
    public Optional<Reason> waitReason(JobId id, long nowMs) {
        Job job = state.jobs.get(id);
        if (job == null || job.attempt() != null) {
            return Optional.empty();
        }
        ReasonCode code =
                job.claim() != null ? ReasonCode.WAIT_RECLAIM : job.jobClass().waitCode();
        return Optional.of(reasonBuilder.waitReason(code, job, state, reservations, nowMs));
    }

    private void apply(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.JobSubmitted submitted) {
            admission.submit(submitted.job());
        } else if (event instanceof SchedulerEvent.JobCancelled cancelled) {
            endHandler.cancel(cancelled.job());
        } else if (event instanceof SchedulerEvent.TaskCompleted completed) {
            endHandler.completed(completed.task());
        } else if (event instanceof SchedulerEvent.TaskFailed failed) {
            endHandler.failed(failed.task(), failed.failure());
        } else if (event instanceof SchedulerEvent.AttemptWithdrawn withdrawn) {
            endHandler.withdrawn(withdrawn);
        } else if (event instanceof SchedulerEvent.AttemptStopped stopped) {
            endHandler.stopped(stopped);
        } else if (event instanceof SchedulerEvent.AttemptRecovered recovered) {
            recovery.recover(recovered);
        } else if (event instanceof SchedulerEvent.UsageReported usage) {
            state.attempt(usage.task().attempt())
                    .ifPresent(attempt ->
                            overrunMonitor.memoryReported(attempt, usage.used().memoryMb()));
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
            workers.workerJoined(joined.worker());
        } else if (event instanceof SchedulerEvent.WorkerLeaving leaving) {
            workers.leaving(leaving.worker());
        } else if (event instanceof SchedulerEvent.WorkerUnreachable unreachable) {
            workers.unreachable(unreachable.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            workers.lost(lost.worker());
        } else if (event instanceof SchedulerEvent.ProbeEnded ended) {
            workers.probeEnded(ended.worker(), ended.healthy());
        }
    }

    private void changePolicy(Policy policy) {
        for (Claim claim : List.copyOf(state.claims)) {
            starter.abandon(claim);
            enqueuer.add(claim.job());
        }
        state.policy(policy);
        state.placer.objective(policy.objective(), largestShape(policy));
        state.victimSelector.lending(policy.lending());
        state.estimator.policy(policy.estimates());
        state.faults.policy(policy.faults());
        new TreeMap<>(policy.workspaces())
                .forEach((workspace, rules) -> state.ledger(workspace).policy(rules, state.nowMs()));
        state.guaranteePlacer.policy(policy);
        state.promotable.addAll(policy.workspaces().keySet());
        workers.raiseAlarms(unit -> unit.lost() || state.pool.joinedCount() > 0);
        for (Job job : state.queue.jobs()) {
            if (!policy.workspaces().containsKey(job.spec().workspace())) {
                endHandler.endWaiting(job, Reason.of(ReasonCode.END_UNKNOWN_WORKSPACE));
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
        for (Job job : enqueuer.expired()) {
            endHandler.endWaiting(job, Reason.of(ReasonCode.END_DEADLINE));
        }
        overrunMonitor.tick();
        workers.sendDueProbes();
        state.guaranteePlacer.placeMissing();
        workers.raiseAlarms(unit -> true);
        escalator.tick();
        defragmenter.tick();
        state.faults.removeStale(state.nowMs());
        reservations.review();
        state.capacityGrew();
    }

    /** Starts the jobs that fit; repeats as long as a pass makes further starts possible. */
    private void startJobs() {
        workers.quarantineFaultyWorkers();
        workers.raiseLossAlarms();
        promoter.run();
        starter.startClaimed();
        boolean grew = true;
        while (grew) {
            if (state.pollCapacityGrew()) {
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

    /** Returns whether a blocked class may fit now: its reason is not {@code WAIT_CAPACITY} or its shape may fit. */
    private boolean mayFit(JobClass jobClass) {
        return jobClass.waitCode() != ReasonCode.WAIT_CAPACITY
                || !state.placer.knownMisfit(jobClass.misfitKey())
                || allocator.hasUnusedCapacity(jobClass.key());
    }

    /** Starts jobs inside guarantees, before other jobs can use the capacity. */
    private void startGuaranteed() {
        for (JobClass jobClass : state.queue.ready()) {
            if (!allocator.hasUnusedCapacity(jobClass.key())) {
                continue;
            }
            boolean started = true;
            while (started && !jobClass.jobs().isEmpty()) {
                started = starter.tryGuaranteed(jobClass.first());
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

    /**
     * Starts a job or blocks its class. Drops the job's reservation if it waits for something else than capacity or a
     * reservation.
     */
    private void startOrBlock(Job job) {
        JobClass jobClass = job.jobClass();
        Optional<ReasonCode> wait = starter.tryStart(job);
        if (wait.isEmpty()) {
            return;
        }
        state.queue.block(jobClass, wait.get());
        if (!Reservations.waitsForCapacity(wait.get()) && wait.get() != ReasonCode.WAIT_RESERVATION) {
            reservations.drop(job);
        }
    }
}
