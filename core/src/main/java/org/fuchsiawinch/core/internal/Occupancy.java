package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.model.Resources;

/** Accounts for the capacity that attempts and claims use on their workers. */
final class Occupancy {

    private Occupancy() {}

    /** Adds the usage of a started attempt to its workers and, if any, to its guarantee. */
    static void occupy(Attempt attempt) {
        use(attempt, 1);
        Gang gang = attempt.gang();
        for (Worker worker : gang.workers()) {
            if (!worker.attempts().contains(attempt)) {
                worker.attempts().add(attempt);
            }
        }
        if (attempt.standing() == Standing.GUARANTEED) {
            attempt.unit().attempts().add(attempt);
            attempt.excessMemoryMb(attempt.unit().take(gang, attempt.part()));
        } else if (attempt.standing() == Standing.FIRM) {
            commit(attempt, 1);
        }
    }

    /** Subtracts the usage of an attempt that has stopped or completed. */
    static void release(Attempt attempt, WorkerPool pool) {
        use(attempt, -1);
        if (attempt.stopping()) {
            countStopping(attempt, -1);
        }
        if (attempt.standing() == Standing.GUARANTEED) {
            GuaranteeUnit unit = attempt.unit();
            unit.attempts().remove(attempt);
            unit.give(attempt.gang(), attempt.part(), attempt.excessMemoryMb());
        } else if (attempt.standing() == Standing.FIRM) {
            commit(attempt, -1);
        }
        for (Worker worker : attempt.gang().workers()) {
            worker.attempts().remove(attempt);
            pool.forgetIfIdle(worker);
        }
    }

    /** Adds the capacity of an attempt to the amounts that are about to become free; subtracts it for sign -1. */
    static void countStopping(Attempt attempt, int sign) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Amounts stopping = gang.workers()[i].stopping();
            stopping.add(attempt.part(), sign * gang.counts()[i]);
            stopping.addMemory(sign * gang.counts()[i] * attempt.addedMemoryMb());
        }
    }

    /** Commits the capacity of a non-preemptible attempt; releases it for sign -1. */
    static void commit(Attempt attempt, int sign) {
        commit(attempt.gang(), attempt.part(), sign);
    }

    /** Commits capacity for a non-preemptible gang; releases it for sign -1. */
    static void commit(Gang gang, Resources part, int sign) {
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.committed().add(part, sign * gang.counts()[i]);
            worker.changed(sign);
        }
    }

    /** Subtracts what an attempt uses on a worker from the given amounts. */
    static void subtract(Amounts amounts, Attempt attempt, Worker worker) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            if (gang.workers()[i] == worker) {
                amounts.add(attempt.part(), -gang.counts()[i]);
                amounts.addMemory(-gang.counts()[i] * attempt.addedMemoryMb());
            }
        }
    }

    /** Adds memory in MiB to the usage of each part of a running attempt. */
    static void addMemory(Attempt attempt, int megabytes) {
        attempt.addedMemoryMb(attempt.addedMemoryMb() + megabytes);
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.used().addMemory(gang.counts()[i] * megabytes);
            worker.changed();
        }
    }

    /** Holds the capacity of a claim; releases it for sign -1. */
    static void hold(Gang gang, Resources part, int sign) {
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.held().add(part, sign * gang.counts()[i]);
            worker.changed(sign);
        }
    }

    private static void use(Attempt attempt, int sign) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.used().add(attempt.part(), sign * gang.counts()[i]);
            worker.used().addMemory(sign * gang.counts()[i] * attempt.addedMemoryMb());
            worker.changed(sign);
        }
    }
}
