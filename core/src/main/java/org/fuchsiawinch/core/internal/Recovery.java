package org.fuchsiawinch.core.internal;

import java.util.Arrays;
import java.util.List;

import org.fuchsiawinch.core.SchedulerEvent;

/** Restores attempts that a previous owner of the cell started. Not thread-safe. */
final class Recovery {

    private final State state;
    private final Starter starter;
    private final Promoter promoter;
    private final Waiting waiting;
    private final Reservations reservations;

    Recovery(State state, Starter starter, Promoter promoter, Waiting waiting, Reservations reservations) {
        this.state = state;
        this.starter = starter;
        this.promoter = promoter;
        this.waiting = waiting;
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
        withdraw(job);
        job.attempts(event.attempt().number());
        Gang gang = Gang.of(event.placements(), state.pool);
        RunEstimate estimate = state.estimator.estimate(job, gang.slowestSpeed());
        Attempt attempt =
                new Attempt(event.attempt(), job, gang, event.job().shape().perPart(), estimate, event.startedMs());
        boolean lent = state.lendable(job);
        attempt.stand(lent ? Standing.LENT : Standing.FIRM, null);
        attempt.rate(starter.rate(lent) * job.accelerators(), event.startedMs());
        starter.begin(attempt);
        promoter.promoteRecovered(attempt);
        Arrays.stream(gang.workers()).filter(Worker::overCommitted).forEach(worker -> List.copyOf(worker.units())
                .forEach(unit -> moveIfOver(worker, unit)));
    }

    private void withdraw(Job job) {
        if (job.claim() != null) {
            starter.abandon(job.claim());
        }
        if (job.jobClass() != null) {
            state.queue.remove(job);
        }
        waiting.left(job);
        reservations.drop(job);
    }

    private void moveIfOver(Worker worker, GuaranteeUnit unit) {
        if (worker.overCommitted() && unit.empty()) {
            state.keeper.reposition(unit);
        }
    }
}
