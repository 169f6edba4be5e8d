package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Shape;

/**
 * Finds workers for all parts of a gang within its adjacency domain, by the lowest score of the objective: slowness of
 * the slowest worker against free capacity that is split up. Ties go to the first in order of data centre, rack and id.
 * Not thread-safe.
 */
final class GangPlacer {

    private static final double RACK_LEFTOVER_WEIGHT = 0.1;

    private final WorkerPool pool;
    private final boolean acceleratorsOnly;
    private final boolean adjacencyOn;
    private final boolean objectiveOn;
    private double fragmentationShare;
    private Optional<Shape> largestShape = Optional.empty();

    GangPlacer(WorkerPool pool, SchedulerFeatures features) {
        this.pool = pool;
        this.acceleratorsOnly = !features.has(SchedulerFeature.ALL_RESOURCES);
        this.adjacencyOn = features.has(SchedulerFeature.ADJACENCY);
        this.objectiveOn = features.has(SchedulerFeature.OBJECTIVE);
    }

    void objective(Objective objective, Optional<Shape> largestGuaranteed) {
        fragmentationShare = objective.fragmentationShare();
        largestShape = largestGuaranteed;
    }

    /** Counts the parts that a worker can take for a request. */
    int room(Worker worker, PlaceRequest request) {
        if (!worker.open() || request.avoid().contains(worker.id())) {
            return 0;
        }
        int room = worker.room(request.space(), request.part(), acceleratorsOnly);
        if (room <= 0) {
            return 0;
        }
        return Math.min(request.parts(), request.limit().apply(worker, room));
    }

    Optional<Gang> place(PlaceRequest request) {
        Best best = new Best(request);
        if (!adjacencyOn) {
            best.offer(fill(pool.joinedWorkers(), request));
            return best.gang();
        }
        switch (request.adjacency()) {
            case WORKER -> placeOnWorkers(request, best);
            case RACK -> placeInRacks(request, best);
            default -> placeInDataCentres(request, best);
        }
        return best.gang();
    }

    /** Places a gang on the given workers alone, which share one data centre. */
    Optional<Gang> placeOn(List<Worker> workers, PlaceRequest request) {
        Best best = new Best(request);
        switch (request.adjacency()) {
            case WORKER -> workers.forEach(worker -> best.offer(fill(List.of(worker), request)));
            case RACK ->
                workers.stream()
                        .map(Worker::rack)
                        .distinct()
                        .forEach(rack -> best.offer(fill(
                                workers.stream()
                                        .filter(worker -> worker.rack() == rack)
                                        .toList(),
                                request)));
            default -> best.offer(fill(workers, request));
        }
        return best.gang();
    }

    private void placeOnWorkers(PlaceRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            for (Rack rack : dataCentre.racks()) {
                if (!rack.mayHold(request.space(), request.part(), acceleratorsOnly)) {
                    continue;
                }
                for (Worker worker : rack.workers()) {
                    if (room(worker, request) >= request.parts()) {
                        best.offer(worker);
                    }
                }
            }
        }
    }

    private void placeInRacks(PlaceRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            for (Rack rack : dataCentre.racks()) {
                if (rack.mayHold(request.space(), request.part(), acceleratorsOnly)) {
                    best.offer(fill(rack.workers(), request));
                }
            }
        }
    }

    private void placeInDataCentres(PlaceRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            List<Worker> candidates = new ArrayList<>();
            for (Rack rack : dataCentre.racks()) {
                if (rack.mayHold(request.space(), request.part(), acceleratorsOnly)) {
                    candidates.addAll(rack.workers());
                }
            }
            best.offer(fill(candidates, request));
        }
    }

    private Optional<Gang> fill(List<Worker> workers, PlaceRequest request) {
        List<Candidate> candidates = new ArrayList<>(workers.size());
        int total = 0;
        for (Worker worker : workers) {
            int room = room(worker, request);
            if (room > 0) {
                candidates.add(new Candidate(worker, room, preference(worker)));
                total = Math.min(total + room, request.parts());
            }
        }
        if (total < request.parts()) {
            return Optional.empty();
        }
        candidates.sort(Comparator.comparingDouble(Candidate::preference));
        return Optional.of(take(candidates, request.parts()));
    }

    private static Gang take(List<Candidate> candidates, int parts) {
        List<Worker> workers = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int left = parts;
        for (Candidate candidate : candidates) {
            if (left == 0) {
                break;
            }
            int taken = Math.min(left, candidate.room());
            workers.add(candidate.worker());
            counts.add(taken);
            left -= taken;
        }
        return new Gang(
                workers.toArray(Worker[]::new),
                counts.stream().mapToInt(Integer::intValue).toArray());
    }

    private double preference(Worker worker) {
        if (!objectiveOn) {
            return 0;
        }
        return fragmentationShare * share(worker.freeAccelerators(), worker)
                + (1 - fragmentationShare) * pool.slowness(worker.speed());
    }

    private double score(Gang gang, PlaceRequest request) {
        if (!objectiveOn) {
            return 0;
        }
        double slowest = 0;
        double split = 0;
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            int taken = gang.counts()[i] * request.part().accelerators();
            slowest = Math.max(slowest, pool.slowness(worker.speed()));
            split += shapesLost(worker, taken) + share(worker.freeAccelerators() - taken, worker);
        }
        Rack rack = gang.workers()[0].rack();
        double rackLeft = rack.freeAccelerators() / (double) Math.max(1, rack.capacityAccelerators());
        split = split / gang.workers().length + RACK_LEFTOVER_WEIGHT * rackLeft;
        return fragmentationShare * split + (1 - fragmentationShare) * slowest;
    }

    /** Counts how many of the largest guaranteed shape no longer fit once the accelerators are taken. */
    private int shapesLost(Worker worker, int taken) {
        if (largestShape.isEmpty() || taken == 0) {
            return 0;
        }
        Shape shape = largestShape.get();
        int size = Math.max(1, shape.accelerators());
        int free =
                switch (shape.adjacency()) {
                    case WORKER -> worker.freeAccelerators();
                    case RACK -> worker.rack().freeAccelerators();
                    default -> 0;
                };
        return Math.max(0, free) / size - Math.max(0, free - taken) / size;
    }

    private static double share(int accelerators, Worker worker) {
        int capacity = worker.capacity().accelerators();
        return capacity == 0 ? 0 : Math.max(0, accelerators) / (double) capacity;
    }

    private record Candidate(Worker worker, int room, double preference) {}

    /** Keeps the candidate of the lowest score. */
    private final class Best {

        private final PlaceRequest request;
        private Gang gang;
        private double score = Double.MAX_VALUE;

        private Best(PlaceRequest request) {
            this.request = request;
        }

        private Optional<Gang> gang() {
            return Optional.ofNullable(gang);
        }

        private void offer(Worker worker) {
            offer(Optional.of(new Gang(new Worker[] {worker}, new int[] {request.parts()})));
        }

        private void offer(Optional<Gang> candidate) {
            if (candidate.isEmpty()) {
                return;
            }
            double offered =
                    score(candidate.get(), request) + request.surcharge().of(candidate.get());
            if (offered < score) {
                score = offered;
                gang = candidate.get();
            }
        }
    }
}
