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
 * expected to have freed them. Other jobs may use these workers if they end before that start. The reserved start of a
 * job is never postponed unless a reserved worker stops accepting work. Not thread-safe.
 */
final class Reservations {

    private static final long MIN_OVERDUE_MS = 1_000;
    private static final int OVERDUE_DIVISOR = 10;
    private static final long MIN_SEARCH_INTERVAL_MS = 250;
    private static final long REVIEW_INTERVAL_MS = 10_000;
    private static final int LARGE_ACCELERATORS = 2;
    private static final int GANG_ACCELERATORS = 8;

    private final State state;
    private Reservation current;
    private long reviewDueMs;
    private long nextSearchMs;
    private boolean searched;

    Reservations(State state) {
        this.state = state;
    }

    /**
     * Capacity reserved for a job.
     *
     * @param job the job
     * @param gang the reserved workers
     * @param part granted resources of each part
     * @param startMs latest expected start, in ms since the epoch
     */
    record Reservation(Job job, Gang gang, Resources part, long startMs) {}

    Optional<Reservation> current() {
        return Optional.ofNullable(current);
    }

    /** Returns whether the code says that a job waits for capacity rather than for a limit. */
    static boolean forCapacity(ReasonCode code) {
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
                .firstBlocked(group -> lacksCapacity(group) && large(group.first()))
                .ifPresent(this::consider);
    }

    private static boolean lacksCapacity(JobClass group) {
        return forCapacity(group.waitCode()) || group.waitCode() == ReasonCode.WAIT_RESERVATION;
    }

    private void consider(Job job) {
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

    /** Replaces the reservation if one of its workers accepts no new work or if an earlier start is now expected. */
    void review() {
        if (current == null) {
            return;
        }
        boolean closed = false;
        for (Worker worker : current.gang().workers()) {
            closed |= !worker.open();
        }
        if (!closed && state.nowMs() < reviewDueMs) {
            return;
        }
        reviewDueMs = state.nowMs() + REVIEW_INTERVAL_MS;
        Optional<Reservation> found = find(current.job());
        if (closed) {
            current = found.orElse(null);
            state.capacityGrew();
        } else if (found.isPresent() && found.get().startMs() < current.startMs()) {
            current = found.get();
            state.capacityGrew();
        }
    }

    /** Returns the reason to wait if another job is reserved and backfill is disabled; otherwise empty. */
    Optional<ReasonCode> bars(Job job) {
        boolean barred = holdsBack(job) && !state.has(SchedulerFeature.BACKFILL);
        return barred ? Optional.of(ReasonCode.WAIT_RESERVATION) : Optional.empty();
    }

    /** Returns whether there is a reservation for another job. */
    boolean holdsBack(Job job) {
        return current != null && current.job() != job;
    }

    /** Returns whether a start of the job now overtakes a reserved job that precedes it in the queue. */
    boolean passes(Job job) {
        return holdsBack(job) && JobClass.ORDER.compare(current.job(), job) < 0;
    }

    /** Returns the limit that keeps a job off reserved capacity unless it ends before the reserved start. */
    PlaceRequest.RoomLimit limitFor(Job job, Resources part) {
        if (!holdsBack(job)) {
            return PlaceRequest.RoomLimit.NONE;
        }
        Reservation reserved = current;
        return (worker, room) -> {
            int kept = keptParts(reserved, worker);
            if (kept == 0) {
                return room;
            }
            RunEstimate estimate = state.estimator.estimate(job, worker.speed());
            if (state.nowMs() + estimate.runMs() <= reserved.startMs()) {
                return room;
            }
            Amounts busy = busyAt(worker, Math.max(reserved.startMs(), state.nowMs()));
            busy.add(reserved.part(), kept);
            return Math.min(room, busy.room(worker.capacity(), part));
        };
    }

    /** Returns the time in ms until the reserved start of another job; 0 if there is no such reservation. */
    long earliestReleaseMs(Job job) {
        return holdsBack(job) ? Math.max(0, current.startMs() - state.nowMs()) : 0;
    }

    private static boolean large(Job job) {
        return job.accelerators() >= LARGE_ACCELERATORS || job.spec().shape().parts() > 1;
    }

    private static int keptParts(Reservation reserved, Worker worker) {
        int kept = 0;
        for (int i = 0; i < reserved.gang().workers().length; i++) {
            if (reserved.gang().workers()[i] == worker) {
                kept += reserved.gang().counts()[i];
            }
        }
        return kept;
    }

    private Optional<Reservation> find(Job job) {
        Shape shape = job.spec().shape();
        Resources part = state.grant(job);
        Search search = new Search(job, shape, part);
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

    private long expectedEndMs(Attempt attempt) {
        long overdueMs = Math.max(MIN_OVERDUE_MS, attempt.estimate().runMs() / OVERDUE_DIVISOR);
        return attempt.expectedEndMs() > state.nowMs() ? attempt.expectedEndMs() : state.nowMs() + overdueMs;
    }

    private Amounts busyAt(Worker worker, long atMs) {
        Amounts busy = new Amounts();
        busy.add(worker.used(), 1);
        busy.add(worker.held(), 1);
        for (Attempt attempt : worker.attempts()) {
            if (attempt.stopping() || expectedEndMs(attempt) <= atMs) {
                Occupancy.subtract(busy, attempt, worker);
            }
        }
        return busy;
    }

    /** Search for the adjacency domain in which the gang fits earliest. */
    private final class Search {

        private final Job job;
        private final Shape shape;
        private final Resources part;
        private final boolean firm;
        private Gang gang;
        private long startMs = Long.MAX_VALUE;

        private Search(Job job, Shape shape, Resources part) {
            this.job = job;
            this.shape = shape;
            this.part = part;
            this.firm = !job.spec().reclaimable();
        }

        private Optional<Reservation> result() {
            return gang == null ? Optional.empty() : Optional.of(new Reservation(job, gang, part, startMs));
        }

        private void offer(List<Worker> workers) {
            if (!couldHold(workers)) {
                return;
            }
            TreeSet<Long> ends = new TreeSet<>();
            ends.add(state.nowMs());
            for (Worker worker : workers) {
                if (worker.open()) {
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
                gang = take(workers, startMs);
            }
        }

        private boolean couldHold(List<Worker> workers) {
            Amounts nothing = new Amounts();
            int total = 0;
            for (Worker worker : workers) {
                if (worker.open()) {
                    total += Math.min(shape.parts(), nothing.room(worker.capacity(), part));
                }
            }
            return total >= shape.parts();
        }

        private boolean fits(List<Worker> workers, long atMs) {
            int total = 0;
            for (Worker worker : workers) {
                total += Math.min(shape.parts(), room(worker, atMs));
                if (total >= shape.parts()) {
                    return true;
                }
            }
            return false;
        }

        private Gang take(List<Worker> workers, long atMs) {
            List<Worker> taken = new ArrayList<>();
            List<Integer> counts = new ArrayList<>();
            int left = shape.parts();
            for (Worker worker : workers) {
                int count = Math.min(left, room(worker, atMs));
                if (count > 0) {
                    taken.add(worker);
                    counts.add(count);
                    left -= count;
                }
            }
            return new Gang(
                    taken.toArray(Worker[]::new),
                    counts.stream().mapToInt(Integer::intValue).toArray());
        }

        private int room(Worker worker, long atMs) {
            if (!worker.open() || job.avoid().contains(worker.id())) {
                return 0;
            }
            int room = busyAt(worker, atMs).room(worker.capacity(), part);
            if (room <= 0 || !firm) {
                return room;
            }
            Amounts committed = new Amounts();
            committed.add(worker.committed(), 1);
            for (Attempt attempt : worker.attempts()) {
                if (attempt.standing() == Standing.FIRM && expectedEndMs(attempt) <= atMs) {
                    Occupancy.subtract(committed, attempt, worker);
                }
            }
            return Math.min(room, committed.room(worker.capacity(), part));
        }
    }
}
