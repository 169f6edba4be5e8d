package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Shape;

/**
 * Finds workers for all parts of a gang within one adjacency domain. Chooses the placement of the lowest score, which
 * weighs the slowness of the slowest worker against the fragmentation of free capacity as the objective asks. Ties go
 * to the first in order of data centre, rack and worker id. Not thread-safe.
 */
final class GangPlacer {

    private static final double WORKER_LEFTOVER_WEIGHT = 0.3;
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

    /** Returns how many parts of a request fit on a worker. */
    int room(Worker worker, PlaceRequest request) {
        if (!worker.open() || request.avoids(worker.id())) {
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
        if (request.space() == Space.ANY) {
            return search(request, best);
        }
        FitMemo.Key key = FitMemo.Key.of(request);
        if (pool.memo().knownMisfit(key, this::fitsAround)) {
            return Optional.empty();
        }
        Optional<Gang> found = search(request, best);
        if (found.isEmpty() && request.unlimited()) {
            pool.memo().misfit(key);
        }
        return found;
    }

    private Optional<Gang> search(PlaceRequest request, Best best) {
        switch (request.adjacency()) {
            case WORKER -> placeOnWorkers(request, best);
            case RACK -> placeInRacks(request, best);
            default -> placeInDataCentres(request, best);
        }
        return best.gang();
    }

    /** Finds a placement on the given workers only, which must share one data centre. */
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

    /** Returns whether a shape was found to fit nowhere and no capacity for it has become free since. */
    boolean knownMisfit(FitMemo.Key key) {
        return adjacencyOn && pool.memo().knownMisfit(key, this::fitsAround);
    }

    /** Returns whether a gang fits anywhere; the request must have no limits. */
    boolean fits(PlaceRequest request) {
        if (!adjacencyOn) {
            return place(request).isPresent();
        }
        FitMemo.Key key = FitMemo.Key.of(request);
        if (pool.memo().knownMisfit(key, this::fitsAround)) {
            return false;
        }
        boolean fits = false;
        for (DataCentre dataCentre : pool.dataCentres()) {
            fits = fits || fitsIn(dataCentre, request);
        }
        if (!fits) {
            pool.memo().misfit(key);
        }
        return fits;
    }

    private boolean fitsIn(DataCentre dataCentre, PlaceRequest request) {
        if (request.adjacency() == Adjacency.DATA_CENTRE) {
            return total(dataCentre, request) >= request.parts();
        }
        for (Rack rack : dataCentre.racks()) {
            if (!rack.mayHold(request.space(), request.part(), acceleratorsOnly)) {
                continue;
            }
            if (request.adjacency() == Adjacency.RACK && total(rack, request) >= request.parts()) {
                return true;
            }
            if (request.adjacency() == Adjacency.WORKER
                    && rack.workers().stream().anyMatch(worker -> room(worker, request) >= request.parts())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a shape fits in the adjacency domain of a worker. */
    private boolean fitsAround(FitMemo.Key key, Worker worker) {
        if (!worker.open()) {
            return false;
        }
        PlaceRequest request = PlaceRequest.of(key.parts(), key.part(), key.adjacency(), key.space());
        return switch (key.adjacency()) {
            case WORKER -> room(worker, request) >= key.parts();
            case RACK -> total(worker.rack(), request) >= key.parts();
            default -> total(worker.rack().dataCentre(), request) >= key.parts();
        };
    }

    private int total(DataCentre dataCentre, PlaceRequest request) {
        int total = 0;
        for (Rack rack : dataCentre.racks()) {
            total += total(rack, request);
            if (total >= request.parts()) {
                return total;
            }
        }
        return total;
    }

    private int total(Rack rack, PlaceRequest request) {
        if (!rack.mayHold(request.space(), request.part(), acceleratorsOnly)) {
            return 0;
        }
        int total = 0;
        for (Worker worker : rack.workers()) {
            total += room(worker, request);
        }
        return total;
    }

    /** Finds a placement in the adjacency domain of a worker. */
    Optional<Gang> placeAround(Worker worker, PlaceRequest request) {
        if (!fitsAround(FitMemo.Key.of(request), worker)) {
            return Optional.empty();
        }
        List<Worker> domain = new ArrayList<>();
        switch (request.adjacency()) {
            case WORKER -> domain.add(worker);
            case RACK -> domain.addAll(worker.rack().workers());
            default -> worker.rack().dataCentre().racks().forEach(rack -> domain.addAll(rack.workers()));
        }
        return placeOn(domain, request);
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
                candidates.add(new Candidate(worker, room, preference(worker), candidates.size()));
                total = Math.min(total + room, request.parts());
            }
        }
        if (total < request.parts()) {
            return Optional.empty();
        }
        return Optional.of(take(new PriorityQueue<>(candidates), request.parts()));
    }

    private static Gang take(PriorityQueue<Candidate> candidates, int parts) {
        List<Worker> workers = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int left = parts;
        while (left > 0) {
            Candidate candidate = candidates.remove();
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
        double left = 0;
        int taken = 0;
        for (int i = 0; i < gang.workers().length; i++) {
            Worker worker = gang.workers()[i];
            int here = gang.counts()[i] * request.part().accelerators();
            slowest = Math.max(slowest, pool.slowness(worker.speed()));
            left += share(worker.freeAccelerators() - here, worker);
            taken += here;
        }
        Rack rack = gang.workers()[0].rack();
        double split = stranded(gang, request.part().accelerators(), taken)
                + WORKER_LEFTOVER_WEIGHT * left / gang.workers().length
                + RACK_LEFTOVER_WEIGHT * rack.freeAccelerators() / Math.max(1, rack.capacityAccelerators());
        return fragmentationShare * split + (1 - fragmentationShare) * slowest;
    }

    /**
     * Returns the change that a placement makes to the free accelerators that the largest guaranteed shape cannot use,
     * as a share of that shape's accelerators.
     */
    private double stranded(Gang gang, int perPart, int taken) {
        if (largestShape.isEmpty() || taken == 0) {
            return 0;
        }
        Shape shape = largestShape.get();
        int size = Math.max(1, shape.accelerators());
        Rack rack = gang.workers()[0].rack();
        double change = 0;
        switch (shape.adjacency()) {
            case WORKER -> {
                for (int i = 0; i < gang.workers().length; i++) {
                    change += change(gang.workers()[i].freeAccelerators(), gang.counts()[i] * perPart, size);
                }
            }
            case RACK -> change = change(rack.freeAccelerators(), taken, size);
            default -> change = change(rack.dataCentre().freeAccelerators(), taken, size);
        }
        return change / size;
    }

    private static int change(int free, int taken, int size) {
        int before = Math.max(0, free);
        return Math.max(0, before - taken) % size - before % size;
    }

    private static double share(int accelerators, Worker worker) {
        int capacity = worker.capacity().accelerators();
        return capacity == 0 ? 0 : Math.max(0, accelerators) / (double) capacity;
    }

    private record Candidate(Worker worker, int room, double preference, int order) implements Comparable<Candidate> {

        @Override
        public int compareTo(Candidate other) {
            int byPreference = Double.compare(preference, other.preference);
            return byPreference != 0 ? byPreference : Integer.compare(order, other.order);
        }
    }

    /** The candidate with the lowest score so far. */
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
