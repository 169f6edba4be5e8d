package org.fuchsiawinch.core.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** Workers, their free capacity and the running attempts. Not thread-safe. */
final class Fleet {

    private final Map<WorkerId, WorkerSpec> workers = new TreeMap<>();
    private final Map<WorkerId, WorkerSpec> knownWorkers = new TreeMap<>();
    private final Map<WorkerId, Resources> free = new HashMap<>();
    private final Set<WorkerId> closed = new HashSet<>();
    private final Map<AttemptId, RunningGang> running = new LinkedHashMap<>();
    private final Map<JobId, Integer> attempts = new HashMap<>();
    private final Map<JobId, Set<WorkerId>> failedOn = new HashMap<>();
    private final Map<Shape, Boolean> feasibleShapes = new HashMap<>();
    private final List<Decision> started = new ArrayList<>();

    /** Adds a worker or reopens one; a worker that is already present keeps its free capacity. */
    void join(WorkerSpec worker) {
        closed.remove(worker.id());
        if (!worker.equals(knownWorkers.put(worker.id(), worker))) {
            feasibleShapes.clear();
        }
        if (workers.put(worker.id(), worker) == null) {
            free.put(worker.id(), worker.capacity());
        }
    }

    /** Excludes a worker from new starts until it joins again; running work stays. */
    void close(WorkerId worker) {
        closed.add(worker);
    }

    /** Removes a lost worker. Capacity that gangs used there is not returned, even if the worker joins again. */
    void remove(WorkerId worker) {
        running.values().forEach(gang -> gang.lostWorkers.add(worker));
        workers.remove(worker);
        free.remove(worker);
        closed.remove(worker);
    }

    List<RunningGang> gangsOn(WorkerId worker) {
        return running.values().stream().filter(gang -> gang.runsOn(worker)).toList();
    }

    Optional<RunningGang> gang(AttemptId id) {
        return Optional.ofNullable(running.get(id));
    }

    Optional<RunningGang> gangOf(JobId job) {
        return gang(new AttemptId(job, attempts.getOrDefault(job, 0)));
    }

    boolean everStarted(JobId job) {
        return attempts.containsKey(job);
    }

    List<RunningGang> runningGangs() {
        return List.copyOf(running.values());
    }

    void recover(JobSpec job, AttemptId id, List<Placement> placements, long startedMs) {
        attempts.put(job.id(), id.number());
        occupy(job, id, placements, startedMs);
    }

    /** Starts a job and subtracts its capacity immediately. */
    void start(JobSpec job, List<Placement> placements, long nowMs) {
        AttemptId id = new AttemptId(job.id(), attempts.merge(job.id(), 1, Integer::sum));
        occupy(job, id, placements, nowMs);
        started.add(new Decision.StartGang(id, placements, false, Reason.of(ReasonCode.START_SPARE)));
    }

    /** Returns and clears the start decisions since the last call. */
    List<Decision> drainStarted() {
        List<Decision> drained = List.copyOf(started);
        started.clear();
        return drained;
    }

    void release(RunningGang gang) {
        running.remove(gang.id);
        addBack(gang, free);
    }

    /** Adds the capacity of a gang to the amounts, except on workers that were lost while it ran. */
    static void addBack(RunningGang gang, Map<WorkerId, Resources> amounts) {
        Resources part = gang.job.shape().perPart();
        for (Placement placement : gang.placements) {
            if (!gang.lostWorkers.contains(placement.worker())) {
                amounts.computeIfPresent(placement.worker(), (id, amount) -> amount.plus(part));
            }
        }
    }

    static void subtract(Shape shape, List<Placement> placements, Map<WorkerId, Resources> amounts) {
        for (Placement placement : placements) {
            amounts.computeIfPresent(placement.worker(), (id, amount) -> amount.minus(shape.perPart()));
        }
    }

    /** Returns a copy of the free capacity of the workers that accept new work. */
    Map<WorkerId, Resources> openCapacity() {
        Map<WorkerId, Resources> open = new HashMap<>(free);
        open.keySet().removeAll(closed);
        return open;
    }

    /** Returns a placement on the first workers with enough free capacity, except those on which the job failed. */
    Optional<List<Placement>> place(JobSpec job) {
        Map<WorkerId, Resources> open = openCapacity();
        open.keySet().removeAll(failedOn.getOrDefault(job.id(), Set.of()));
        return place(job.shape(), open, workers);
    }

    /** Records that a job failed on a worker, so that it is not placed there again. */
    void recordFailure(JobId job, WorkerId worker) {
        failedOn.computeIfAbsent(job, id -> new HashSet<>()).add(worker);
    }

    boolean hasFailed(JobId job) {
        return failedOn.containsKey(job);
    }

    /** Returns a placement on the first workers that fit the shape into the given amounts, or empty. */
    Optional<List<Placement>> place(Shape shape, Map<WorkerId, Resources> amounts) {
        return place(shape, amounts, workers);
    }

    /** Returns whether the shape would fit if all workers ever seen were present and empty. */
    boolean couldEverHold(Shape shape) {
        return feasibleShapes.computeIfAbsent(shape, requested -> {
            Map<WorkerId, Resources> empty = new HashMap<>();
            knownWorkers.forEach((id, worker) -> empty.put(id, worker.capacity()));
            return place(requested, empty, knownWorkers).isPresent();
        });
    }

    /** Returns the declared run time in ms, scaled to the slowest of the chosen workers. */
    long declaredRunMs(JobSpec job, List<Placement> placements) {
        double speed = placements.stream()
                .map(placement -> knownWorkers.get(placement.worker()))
                .mapToDouble(worker -> worker == null ? 1.0 : worker.speed())
                .min()
                .orElse(1.0);
        return Math.round(job.declaredRunMs() / speed);
    }

    private void occupy(JobSpec job, AttemptId id, List<Placement> placements, long nowMs) {
        running.put(id, new RunningGang(id, job, placements, nowMs + declaredRunMs(job, placements)));
        subtract(job.shape(), placements, free);
    }

    private static Optional<List<Placement>> place(
            Shape shape, Map<WorkerId, Resources> amounts, Map<WorkerId, WorkerSpec> candidates) {
        Map<String, List<Placement>> byDomain = new HashMap<>();
        for (WorkerSpec worker : candidates.values()) {
            Resources left = amounts.get(worker.id());
            if (left == null || !shape.perPart().fitsIn(left)) {
                continue;
            }
            List<Placement> found = byDomain.computeIfAbsent(domain(worker, shape), name -> new ArrayList<>());
            while (found.size() < shape.parts() && shape.perPart().fitsIn(left)) {
                found.add(new Placement(found.size(), worker.id()));
                left = left.minus(shape.perPart());
            }
            if (found.size() == shape.parts()) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    private static String domain(WorkerSpec worker, Shape shape) {
        return switch (shape.adjacency()) {
            case WORKER -> worker.id().value();
            case RACK -> worker.dataCentre() + "/" + worker.rack();
            case DATA_CENTRE -> worker.dataCentre();
        };
    }
}
