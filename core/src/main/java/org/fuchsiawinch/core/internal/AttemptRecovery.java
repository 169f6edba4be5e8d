package org.fuchsiawinch.core.internal;

import java.util.Arrays;
import java.util.List;

import org.fuchsiawinch.core.SchedulerEvent;

/** Restores attempts that a previous owner of the cell started. Not thread-safe. */
final class AttemptRecovery {

    private final SchedulerState state;
    private final JobStarter starter;
    private final AttemptPromoter promoter;
    private final JobEnqueuer enqueuer;
    private final Reservations reservations;

    AttemptRecovery(
            SchedulerState state,
            JobStarter starter,
            AttemptPromoter promoter,
            JobEnqueuer enqueuer,
            Reservations reservations) {
        this.state = state;
        this.starter = starter;
        this.promoter = promoter;
        this.enqueuer = enqueuer;
        this.reservations = reservations;
    }

    /**
     * Restores a running attempt, inside its workspace's guarantee if that can hold it. Moves unused guarantees off
     * workers that it overcommits.
     */
    void recover(SchedulerEvent.AttemptRecovered event) {
        Job job = state.jobs.computeIfAbsent(
                event.job().id(), id -> new Job(event.job(), state.nextSequence(), event.startedMs()));
        if (job.attempt() != null) {
            return;
        }
        stopWaiting(job);
        job.attempts(event.attempt().number());
        GangPlacement placement = GangPlacement.of(event.placements(), state.pool);
        RunEstimate estimate = state.estimator.estimate(job, placement.slowestSpeed());
        Attempt attempt = new Attempt(
                event.attempt(), job, placement, event.job().shape().perPart(), estimate, event.startedMs());
        boolean lent = state.lendable(job);
        attempt.entitlement(lent ? Entitlement.LENT : Entitlement.NON_PREEMPTIBLE, null);
        attempt.changeRate(starter.acceleratorHourMicros(lent) * job.accelerators(), event.startedMs());
        starter.register(attempt);
        promoter.promoteRecovered(attempt);
        Arrays.stream(placement.workers()).filter(Worker::overCommitted).forEach(worker -> List.copyOf(worker.units())
                .forEach(unit -> moveIfOver(worker, unit)));
    }

    private void stopWaiting(Job job) {
        if (job.claim() != null) {
            starter.abandon(job.claim());
        }
        if (job.jobClass() != null) {
            state.queue.remove(job);
        }
        enqueuer.untrack(job);
        reservations.drop(job);
    }

    private void moveIfOver(Worker worker, GuaranteeUnit unit) {
        if (worker.overCommitted() && unit.unused()) {
            state.guaranteePlacer.reposition(unit);
        }
    }
}
