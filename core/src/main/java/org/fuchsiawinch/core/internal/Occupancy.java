package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.model.Resources;

/** Books what attempts and claims take on their workers. */
final class Occupancy {

    private Occupancy() {}

    /** Books a started attempt. */
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

    /** Books an attempt off that has stopped or completed. */
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

    /** Counts the capacity of an attempt as coming free, or no longer. */
    static void countStopping(Attempt attempt, int sign) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Amounts stopping = gang.workers()[i].stopping();
            stopping.add(attempt.part(), sign * gang.counts()[i]);
            stopping.addMemory(sign * gang.counts()[i] * attempt.addedMemoryMb());
        }
    }

    /** Commits the capacity of a firm attempt, or gives it back. */
    static void commit(Attempt attempt, int sign) {
        commit(attempt.gang(), attempt.part(), sign);
    }

    /** Commits capacity for a firm gang, or gives it back. */
    static void commit(Gang gang, Resources part, int sign) {
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.committed().add(part, sign * gang.counts()[i]);
            worker.changed(sign);
        }
    }

    /** Takes what an attempt uses on a worker off an amount. */
    static void subtract(Amounts amounts, Attempt attempt, Worker worker) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            if (gang.workers()[i] == worker) {
                amounts.add(attempt.part(), -gang.counts()[i]);
                amounts.addMemory(-gang.counts()[i] * attempt.addedMemoryMb());
            }
        }
    }

    /** Books more memory for each part of a running attempt. */
    static void addMemory(Attempt attempt, int megabytes) {
        attempt.addedMemoryMb(attempt.addedMemoryMb() + megabytes);
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            worker.used().addMemory(gang.counts()[i] * megabytes);
            worker.changed();
        }
    }

    /** Holds the capacity of a claim, or lets it go. */
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
