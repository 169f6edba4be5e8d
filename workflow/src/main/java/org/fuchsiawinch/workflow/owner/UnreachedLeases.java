package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Bounds the leases of workers that this owner has not reached: only earlier owners can have granted them. The bounds,
 * and those of workers that have stopped answering, are stored, so that they do not start anew with each change of
 * owner. A worker gets no lease while a stored record may list it; so each bound holds for every later owner, however
 * this one ends. Not thread-safe.
 */
final class UnreachedLeases {

    /** Extra time in ms for an uncertain predecessor, which may store records after this owner has read the stream. */
    private static final long UNCERTAINTY_MS = 2000;

    /** Extra time in ms for the drift of clocks and for orders that are about to be sent. */
    private static final long SLACK_MS = 1400;

    /** Time in ms in which workers answer a new owner; those that have not are stored after it. */
    private static final long FIRST_CONTACT_MS = 2500;

    /** Interval in ms between records; a change of owner without a release loses the time since the last one. */
    private static final long RECORD_INTERVAL_MS = 200;

    private final CellState state;
    private final long epoch;
    private final long ownedSinceMs;

    /** Longest time in ms from the last confirmed append of an owner to the end of a lease that it has granted. */
    private final long longestLeaseMs;

    /** Time in ms from the start of this ownership after which all leases of earlier owners have expired. */
    private long longestRestMs;

    /** Bounds in ms from the start of this ownership, of workers that the previous owner had not reached. */
    private final Map<WorkerId, Long> inheritedRestMs = new HashMap<>();

    private Set<WorkerId> storedWorkers = Set.of();
    private Optional<Set<WorkerId>> workersBeingStored = Optional.empty();
    private long lastRecordMs;

    UnreachedLeases(CellState state, long epoch, long ownedSinceMs) {
        this.state = state;
        this.epoch = epoch;
        this.ownedSinceMs = ownedSinceMs;
        this.lastRecordMs = ownedSinceMs;
        this.longestLeaseMs = (long) (state.settings.leaseMs() * (1 + 2 * OwnerSettings.CLOCK_DRIFT))
                + OwnerSettings.MAX_STORE_SILENCE_MS;
        this.longestRestMs = longestLeaseMs + UNCERTAINTY_MS;
    }

    /**
     * Counts the longest lease from the last record of the previous owner: an owner grants leases only for a while
     * after it has sent an append that the store has confirmed. One that counts from the answer may do so for longer.
     */
    void follow(Predecessor predecessor) {
        if (!predecessor.countsFromSending()) {
            return;
        }
        longestRestMs = longestLeaseMs + SLACK_MS - (ownedSinceMs - predecessor.lastRecordMs());
    }

    /**
     * Takes over the stored bounds.
     *
     * @param record newest record
     * @param predecessorEpoch epoch of the previous owner; a record of an earlier one may be outdated, since programs
     *     that do not know this type of record grant leases without updating it
     */
    void inherit(CellRecord.UnreachedWorkers record, long predecessorEpoch) {
        storedWorkers = record.leaseRestMs().keySet();
        if (record.epoch() >= predecessorEpoch) {
            inheritedRestMs.putAll(record.leaseRestMs());
        }
    }

    /** Returns whether all leases of a worker that this owner has not reached have expired. */
    boolean expired(WorkerId worker, long nowMs) {
        return nowMs - ownedSinceMs > restMs(worker);
    }

    /** Returns the bound in ms from the start of this ownership. */
    private long restMs(WorkerId worker) {
        return Math.min(longestRestMs, inheritedRestMs.getOrDefault(worker, longestRestMs));
    }

    /** Returns whether the worker may get a lease: no stored record lists it, and none that is being stored. */
    boolean mayGrant(WorkerId worker) {
        return !storedWorkers.contains(worker)
                && workersBeingStored.filter(set -> set.contains(worker)).isEmpty();
    }

    /** Returns the record to store with the next append, if the stored one is outdated. */
    Optional<CellRecord> recordToStore(long nowMs) {
        Map<WorkerId, Long> bounds = bounds(nowMs, nowMs - ownedSinceMs >= FIRST_CONTACT_MS);
        boolean current = bounds.keySet().equals(storedWorkers)
                && (bounds.isEmpty() || nowMs - lastRecordMs < RECORD_INTERVAL_MS);
        if (current) {
            return Optional.empty();
        }
        lastRecordMs = nowMs;
        workersBeingStored = Optional.of(bounds.keySet());
        return Optional.of(record(bounds));
    }

    /**
     * Returns the record to store with the release of the cell, after which this owner grants no lease. It also lists
     * workers that have stopped answering.
     */
    Optional<CellRecord> recordOfRelease(long nowMs) {
        Map<WorkerId, Long> bounds = bounds(nowMs, true);
        for (WorkerState worker : state.workers.values()) {
            if (worker.contacted && leaseEnds(worker, nowMs)) {
                bounds.put(worker.id, Math.max(0, worker.leaseRestMs(nowMs)));
            }
        }
        return bounds.isEmpty() && storedWorkers.isEmpty() ? Optional.empty() : Optional.of(record(bounds));
    }

    /** Returns whether a worker that has stopped answering gets no further lease and all its runs end with the last. */
    private static boolean leaseEnds(WorkerState worker, long nowMs) {
        return worker.renewalFailing && leaseBoundsRuns(worker, nowMs);
    }

    /**
     * Returns whether all that may run on a worker ends with its lease. A start that is in doubt may be carried out by
     * the worker's next process, for which the end of the lease means another time.
     */
    private static boolean leaseBoundsRuns(WorkerState worker, long nowMs) {
        return !worker.runs.isEmpty()
                && worker.runs.values().stream().allMatch(run -> run.listed)
                && worker.unansweredStarts.settled(nowMs);
    }

    private CellRecord record(Map<WorkerId, Long> bounds) {
        return bounds.isEmpty()
                ? new CellRecord.Removed(CellRecord.UnreachedWorkers.KEY)
                : new CellRecord.UnreachedWorkers(epoch, bounds);
    }

    private Map<WorkerId, Long> bounds(long nowMs, boolean all) {
        Map<WorkerId, Long> bounds = new TreeMap<>();
        for (WorkerState worker : state.workers.values()) {
            boolean unreached = !worker.contacted && !worker.runs.isEmpty();
            if (unreached && (all || inheritedRestMs.containsKey(worker.id))) {
                bounds.put(worker.id, Math.max(0, restMs(worker.id) - (nowMs - ownedSinceMs)));
            } else if (worker.contacted && worker.silent(nowMs) && leaseEnds(worker, nowMs)) {
                bounds.put(worker.id, Math.max(0, worker.leaseRestMs(nowMs)));
            }
        }
        return bounds;
    }

    /** Handles the confirmation of an append; workers that may get a lease from now on are renewed at once. */
    void appendStored(long nowMs) {
        if (workersBeingStored.isEmpty()) {
            return;
        }
        Set<WorkerId> before = storedWorkers;
        storedWorkers = workersBeingStored.get();
        workersBeingStored = Optional.empty();
        for (WorkerId id : before) {
            WorkerState worker = state.workers.get(id);
            if (worker != null && mayGrant(id)) {
                worker.nextRenewalMs = nowMs;
            }
        }
    }
}
