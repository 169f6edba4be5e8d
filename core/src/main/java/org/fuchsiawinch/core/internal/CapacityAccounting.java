package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.model.Resources;

/** Accounts for the capacity that attempts and claims use on their workers. */
final class CapacityAccounting {

    private CapacityAccounting() {}

    /** Adds the usage of a started attempt to its workers and, if any, to its guarantee. */
    static void occupy(Attempt attempt) {
        use(attempt, 1);
        GangPlacement placement = attempt.placement();
        for (Worker worker : placement.workers()) {
            if (!worker.attempts().contains(attempt)) {
                worker.attempts().add(attempt);
            }
        }
        if (attempt.entitlement() == Entitlement.GUARANTEED) {
            attempt.unit().attempts().add(attempt);
            attempt.excessMemoryMb(attempt.unit().allocate(placement, attempt.perPart()));
        } else if (attempt.entitlement() == Entitlement.NON_PREEMPTIBLE) {
            commit(attempt, 1);
        }
    }

    /** Subtracts the usage of an attempt that has stopped or completed. */
    static void release(Attempt attempt, WorkerPool pool) {
        use(attempt, -1);
        if (attempt.stopping()) {
            countStopping(attempt, -1);
        }
        if (attempt.entitlement() == Entitlement.GUARANTEED) {
            GuaranteeUnit unit = attempt.unit();
            unit.attempts().remove(attempt);
            unit.release(attempt.placement(), attempt.perPart(), attempt.excessMemoryMb());
        } else if (attempt.entitlement() == Entitlement.NON_PREEMPTIBLE) {
            commit(attempt, -1);
        }
        for (Worker worker : attempt.placement().workers()) {
            worker.attempts().remove(attempt);
            pool.forgetIfIdle(worker);
        }
    }

    /** Adds the capacity of an attempt to the amounts that are about to become free; subtracts it for sign -1. */
    static void countStopping(Attempt attempt, int sign) {
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            MutableResources stopping = placement.workers()[i].stopping();
            stopping.add(attempt.perPart(), sign * placement.counts()[i]);
            stopping.addMemory(sign * placement.counts()[i] * attempt.addedMemoryMb());
        }
    }

    /** Commits the capacity of a non-preemptible attempt; releases it for sign -1. */
    static void commit(Attempt attempt, int sign) {
        commit(attempt.placement(), attempt.perPart(), sign);
    }

    /** Commits capacity for a non-preemptible gang; releases it for sign -1. */
    static void commit(GangPlacement placement, Resources perPart, int sign) {
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            worker.committed().add(perPart, sign * placement.counts()[i]);
            worker.capacityChanged(sign);
        }
    }

    /** Subtracts what an attempt uses on a worker from the given amounts. */
    static void subtract(MutableResources amounts, Attempt attempt, Worker worker) {
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            if (placement.workers()[i] == worker) {
                amounts.add(attempt.perPart(), -placement.counts()[i]);
                amounts.addMemory(-placement.counts()[i] * attempt.addedMemoryMb());
            }
        }
    }

    /** Adds memory in MiB to the usage of each part of a running attempt. */
    static void addMemory(Attempt attempt, int megabytes) {
        attempt.addedMemoryMb(attempt.addedMemoryMb() + megabytes);
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            worker.used().addMemory(placement.counts()[i] * megabytes);
            worker.invalidateBounds();
        }
    }

    /** Holds the capacity of a claim; releases it for sign -1. */
    static void hold(GangPlacement placement, Resources perPart, int sign) {
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            worker.held().add(perPart, sign * placement.counts()[i]);
            worker.capacityChanged(sign);
        }
    }

    private static void use(Attempt attempt, int sign) {
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            worker.used().add(attempt.perPart(), sign * placement.counts()[i]);
            worker.used().addMemory(sign * placement.counts()[i] * attempt.addedMemoryMb());
            worker.capacityChanged(sign);
        }
    }
}
