package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;

/**
 * Reserves concrete workers for the first large job in queue order that does not fit, starting when running work is
 * expected to have freed them. Other jobs may use these workers if they end before that start. The reserved start is
 * never postponed unless a reserved worker stops accepting work. Not thread-safe.
 */
final class Reservations {

    private static final long MIN_OVERDUE_EXTENSION_MS = 1_000;
    private static final int OVERDUE_EXTENSION_DIVISOR = 10;
    private static final long MIN_SEARCH_INTERVAL_MS = 250;
    private static final long REVIEW_INTERVAL_MS = 10_000;
    private static final int MIN_LARGE_JOB_ACCELERATORS = 2;
    private static final int GANG_ACCELERATORS = 8;

    private final SchedulerState state;
    private Reservation current;
    private long reviewDueMs;
    private long nextSearchMs;
    private boolean searched;

    Reservations(SchedulerState state) {
        this.state = state;
    }

    /**
     * Capacity reserved for a job.
     *
     * @param job the job
     * @param placement the reserved workers
     * @param perPart granted resources of each part
     * @param startMs latest expected start, in ms since the Unix epoch
     */
    record Reservation(Job job, GangPlacement placement, Resources perPart, long startMs) {}

    Optional<Reservation> current() {
        return Optional.ofNullable(current);
    }

    /** Returns whether the code says that a job waits for capacity rather than for a limit. */
    static boolean waitsForCapacity(ReasonCode code) {
        return code == ReasonCode.WAIT_CAPACITY
                || code == ReasonCode.WAIT_PROTECTS_GUARANTEE
                || code == ReasonCode.WAIT_NOT_ON_LENT;
    }

    /**
     * Reserves capacity for the first large job in queue order that lacks it, unless there is a reservation. Searches
     * are at least {@link #MIN_SEARCH_INTERVAL_MS} apart, so that a burst of cancellations does not cause one search
     * each.
     */
    void reserve() {
        if (current != null || !state.has(SchedulerFeature.RESERVATION)) {
            return;
        }
        if (searched && state.nowMs() < nextSearchMs) {
            return;
        }
        state.queue
                .firstBlocked(jobClass -> lacksCapacity(jobClass) && large(jobClass.first()))
                .ifPresent(this::searchFor);
    }

    private static boolean lacksCapacity(JobClass jobClass) {
        return waitsForCapacity(jobClass.waitCode()) || jobClass.waitCode() == ReasonCode.WAIT_RESERVATION;
    }

    private void searchFor(Job job) {
        searched = true;
        nextSearchMs = state.nowMs() + MIN_SEARCH_INTERVAL_MS;
        current = find(job).orElse(null);
    }

    void started(Job job) {
        drop(job);
    }

    /** Removes the reservation of a job, if it has one. */
    void drop(Job job) {
        if (current != null && current.job() == job) {
            current = null;
            state.capacityGrew();
        }
    }

    /**
     * Replaces the reservation if one of its workers accepts no new work or, checked every
     * {@link #REVIEW_INTERVAL_MS}, if an earlier start is now expected.
     */
    void review() {
        if (current == null) {
            return;
        }
        boolean unavailable = false;
        for (Worker worker : current.placement().workers()) {
            unavailable |= !worker.acceptsWork();
        }
        if (!unavailable && state.nowMs() < reviewDueMs) {
            return;
        }
        reviewDueMs = state.nowMs() + REVIEW_INTERVAL_MS;
        Optional<Reservation> found = find(current.job());
        if (unavailable) {
            current = found.orElse(null);
            state.capacityGrew();
        } else if (found.isPresent() && found.get().startMs() < current.startMs()) {
            current = found.get();
            state.capacityGrew();
        }
    }

    /** Returns the code of the wait if another job has the reservation and backfill is disabled; otherwise empty. */
    Optional<ReasonCode> waitCode(Job job) {
        boolean blocked = reservedForOther(job) && !state.has(SchedulerFeature.BACKFILL);
        return blocked ? Optional.of(ReasonCode.WAIT_RESERVATION) : Optional.empty();
    }

    /** Returns whether another job has the reservation. */
    boolean reservedForOther(Job job) {
        return current != null && current.job() != job;
    }

    /** Returns whether a start of the job now overtakes an earlier one in the queue that has the reservation. */
    boolean overtakesReserved(Job job) {
        return reservedForOther(job) && JobClass.ORDER.compare(current.job(), job) < 0;
    }

    /** Returns the limit that keeps a job off reserved capacity unless it ends before the reserved start. */
    PlacementRequest.PartLimit limitFor(Job job, Resources perPart) {
        if (!reservedForOther(job)) {
            return PlacementRequest.PartLimit.NONE;
        }
        Reservation reserved = current;
        return (worker, fitting) -> {
            int reservedParts = reservedPartsOn(reserved, worker);
            if (reservedParts == 0) {
                return fitting;
            }
            RunEstimate estimate = state.estimator.estimate(job, worker.speed());
            if (state.nowMs() + estimate.runMs() <= reserved.startMs()) {
                return fitting;
            }
            MutableResources busy = busyAt(worker, Math.max(reserved.startMs(), state.nowMs()));
            busy.add(reserved.perPart(), reservedParts);
            return Math.min(fitting, busy.fittingParts(worker.capacity(), perPart));
        };
    }

    /** Returns the time in ms until the reserved start of another job; 0 if there is no such reservation. */
    long reservedStartDelayMs(Job job) {
        return reservedForOther(job) ? Math.max(0, current.startMs() - state.nowMs()) : 0;
    }

    private static boolean large(Job job) {
        return job.accelerators() >= MIN_LARGE_JOB_ACCELERATORS
                || job.spec().shape().parts() > 1;
    }

    private static int reservedPartsOn(Reservation reserved, Worker worker) {
        int reservedParts = 0;
        for (int i = 0; i < reserved.placement().workers().length; i++) {
            if (reserved.placement().workers()[i] == worker) {
                reservedParts += reserved.placement().counts()[i];
            }
        }
        return reservedParts;
    }

    private Optional<Reservation> find(Job job) {
        Shape shape = job.spec().shape();
        Resources perPart = state.grant(job);
        Search search = new Search(job, shape, perPart);
        for (DataCentre dataCentre : state.pool.dataCentres()) {
            switch (shape.adjacency()) {
                case WORKER ->
                    dataCentre.racks().forEach(rack -> rack.workers().forEach(w -> search.offer(List.of(w))));
                case RACK -> dataCentre.racks().forEach(rack -> search.offer(rack.workers()));
                default -> {
                    List<Worker> workers = new ArrayList<>();
                    dataCentre.racks().forEach(rack -> workers.addAll(rack.workers()));
                    search.offer(workers);
                }
            }
        }
        return search.result();
    }

    /**
     * Returns the expected end of an attempt in ms since the Unix epoch. An overdue one is expected to run on for a
     * tenth of its estimate, at least {@link #MIN_OVERDUE_EXTENSION_MS}.
     */
    private long expectedEndMs(Attempt attempt) {
        long extensionMs = Math.max(MIN_OVERDUE_EXTENSION_MS, attempt.estimate().runMs() / OVERDUE_EXTENSION_DIVISOR);
        return attempt.expectedEndMs() > state.nowMs() ? attempt.expectedEndMs() : state.nowMs() + extensionMs;
    }

    /**
     * Returns the amounts in use or held on a worker at a time, without attempts that are stopping or expected to have
     * ended by then.
     */
    private MutableResources busyAt(Worker worker, long atMs) {
        MutableResources busy = new MutableResources();
        busy.add(worker.used(), 1);
        busy.add(worker.held(), 1);
        for (Attempt attempt : worker.attempts()) {
            if (attempt.stopping() || expectedEndMs(attempt) <= atMs) {
                CapacityAccounting.subtract(busy, attempt, worker);
            }
        }
        return busy;
    }

    /** Search for the adjacency domain in which the gang fits earliest. */
    private final class Search {

        private final Job job;
        private final Shape shape;
        private final Resources perPart;
        private final boolean nonPreemptible;
        private GangPlacement placement;
        private long startMs = Long.MAX_VALUE;

        private Search(Job job, Shape shape, Resources perPart) {
            this.job = job;
            this.shape = shape;
            this.perPart = perPart;
            this.nonPreemptible = !job.spec().reclaimable();
        }

        private Optional<Reservation> result() {
            return placement == null
                    ? Optional.empty()
                    : Optional.of(new Reservation(job, placement, perPart, startMs));
        }

        /**
         * Searches one adjacency domain for a start earlier than the best so far, by bisection of the expected ends.
         */
        private void offer(List<Worker> workers) {
            if (!couldHold(workers)) {
                return;
            }
            TreeSet<Long> ends = new TreeSet<>();
            ends.add(state.nowMs());
            for (Worker worker : workers) {
                if (worker.acceptsWork()) {
                    worker.attempts().forEach(attempt -> ends.add(expectedEndMs(attempt)));
                }
            }
            List<Long> times = new ArrayList<>(ends.headSet(startMs));
            int low = 0;
            int high = times.size();
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (fits(workers, times.get(middle))) {
                    high = middle;
                } else {
                    low = middle + 1;
                }
            }
            if (low < times.size()) {
                startMs = times.get(low);
                placement = placementAt(workers, startMs);
            }
        }

        private boolean couldHold(List<Worker> workers) {
            MutableResources nothing = new MutableResources();
            int total = 0;
            for (Worker worker : workers) {
                if (worker.acceptsWork()) {
                    total += Math.min(shape.parts(), nothing.fittingParts(worker.capacity(), perPart));
                }
            }
            return total >= shape.parts();
        }

        private boolean fits(List<Worker> workers, long atMs) {
            int total = 0;
            for (Worker worker : workers) {
                total += Math.min(shape.parts(), fittingParts(worker, atMs));
                if (total >= shape.parts()) {
                    return true;
                }
            }
            return false;
        }

        private GangPlacement placementAt(List<Worker> workers, long atMs) {
            List<Worker> taken = new ArrayList<>();
            List<Integer> counts = new ArrayList<>();
            int left = shape.parts();
            for (Worker worker : workers) {
                int count = Math.min(left, fittingParts(worker, atMs));
                if (count > 0) {
                    taken.add(worker);
                    counts.add(count);
                    left -= count;
                }
            }
            return new GangPlacement(
                    taken.toArray(Worker[]::new),
                    counts.stream().mapToInt(Integer::intValue).toArray());
        }

        private int fittingParts(Worker worker, long atMs) {
            if (!worker.acceptsWork() || job.avoid().contains(worker.id())) {
                return 0;
            }
            int fitting = busyAt(worker, atMs).fittingParts(worker.capacity(), perPart);
            if (fitting <= 0 || !nonPreemptible) {
                return fitting;
            }
            MutableResources committed = new MutableResources();
            committed.add(worker.committed(), 1);
            for (Attempt attempt : worker.attempts()) {
                if (attempt.entitlement() == Entitlement.NON_PREEMPTIBLE && expectedEndMs(attempt) <= atMs) {
                    CapacityAccounting.subtract(committed, attempt, worker);
                }
            }
            return Math.min(fitting, committed.fittingParts(worker.capacity(), perPart));
        }
    }
}
