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

    // Weights of the free share left on the workers and in the rack, relative to stranded accelerators (weight 1).
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
    int fittingParts(Worker worker, PlacementRequest request) {
        if (!worker.acceptsWork() || request.avoids(worker.id())) {
            return 0;
        }
        int fitting = worker.fittingParts(request.scope(), request.perPart(), acceleratorsOnly);
        if (fitting <= 0) {
            return 0;
        }
        return Math.min(request.parts(), request.limit().apply(worker, fitting));
    }

    /** Returns the placement with the lowest score among all workers, or empty if the gang fits nowhere. */
    Optional<GangPlacement> place(PlacementRequest request) {
        Best best = new Best(request);
        if (!adjacencyOn) {
            best.offer(fill(pool.joinedWorkers(), request));
            return best.placement();
        }
        if (request.scope() == CapacityScope.ANY) {
            return search(request, best);
        }
        MisfitCache.Key key = MisfitCache.Key.of(request);
        if (pool.misfitCache().knownMisfit(key, this::fitsInDomainOf)) {
            return Optional.empty();
        }
        Optional<GangPlacement> found = search(request, best);
        if (found.isEmpty() && request.unlimited()) {
            pool.misfitCache().addMisfit(key);
        }
        return found;
    }

    private Optional<GangPlacement> search(PlacementRequest request, Best best) {
        switch (request.adjacency()) {
            case WORKER -> placeOnWorkers(request, best);
            case RACK -> placeInRacks(request, best);
            default -> placeInDataCentres(request, best);
        }
        return best.placement();
    }

    /** Finds a placement on the given workers only, which must share one data centre. */
    Optional<GangPlacement> placeOn(List<Worker> workers, PlacementRequest request) {
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
        return best.placement();
    }

    /** Returns whether a shape was found to fit nowhere and no capacity for it has become free since. */
    boolean knownMisfit(MisfitCache.Key key) {
        return adjacencyOn && pool.misfitCache().knownMisfit(key, this::fitsInDomainOf);
    }

    /** Returns whether a gang fits anywhere; the request must have no limits. */
    boolean fits(PlacementRequest request) {
        if (!adjacencyOn) {
            return place(request).isPresent();
        }
        MisfitCache.Key key = MisfitCache.Key.of(request);
        if (pool.misfitCache().knownMisfit(key, this::fitsInDomainOf)) {
            return false;
        }
        boolean fits = false;
        for (DataCentre dataCentre : pool.dataCentres()) {
            fits = fits || fitsIn(dataCentre, request);
        }
        if (!fits) {
            pool.misfitCache().addMisfit(key);
        }
        return fits;
    }

    private boolean fitsIn(DataCentre dataCentre, PlacementRequest request) {
        if (request.adjacency() == Adjacency.DATA_CENTRE) {
            return total(dataCentre, request) >= request.parts();
        }
        for (Rack rack : dataCentre.racks()) {
            if (!rack.mayHold(request.scope(), request.perPart(), acceleratorsOnly)) {
                continue;
            }
            if (request.adjacency() == Adjacency.RACK && total(rack, request) >= request.parts()) {
                return true;
            }
            if (request.adjacency() == Adjacency.WORKER
                    && rack.workers().stream().anyMatch(worker -> fittingParts(worker, request) >= request.parts())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a shape fits in the adjacency domain of a worker. */
    private boolean fitsInDomainOf(MisfitCache.Key key, Worker worker) {
        if (!worker.acceptsWork()) {
            return false;
        }
        PlacementRequest request = PlacementRequest.of(key.parts(), key.perPart(), key.adjacency(), key.scope());
        return switch (key.adjacency()) {
            case WORKER -> fittingParts(worker, request) >= key.parts();
            case RACK -> total(worker.rack(), request) >= key.parts();
            default -> total(worker.rack().dataCentre(), request) >= key.parts();
        };
    }

    private int total(DataCentre dataCentre, PlacementRequest request) {
        int total = 0;
        for (Rack rack : dataCentre.racks()) {
            total += total(rack, request);
            if (total >= request.parts()) {
                return total;
            }
        }
        return total;
    }

    private int total(Rack rack, PlacementRequest request) {
        if (!rack.mayHold(request.scope(), request.perPart(), acceleratorsOnly)) {
            return 0;
        }
        int total = 0;
        for (Worker worker : rack.workers()) {
            total += fittingParts(worker, request);
        }
        return total;
    }

    /** Finds a placement in the adjacency domain of a worker. */
    Optional<GangPlacement> placeInDomainOf(Worker worker, PlacementRequest request) {
        if (!fitsInDomainOf(MisfitCache.Key.of(request), worker)) {
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

    private void placeOnWorkers(PlacementRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            for (Rack rack : dataCentre.racks()) {
                if (!rack.mayHold(request.scope(), request.perPart(), acceleratorsOnly)) {
                    continue;
                }
                for (Worker worker : rack.workers()) {
                    if (fittingParts(worker, request) >= request.parts()) {
                        best.offer(worker);
                    }
                }
            }
        }
    }

    private void placeInRacks(PlacementRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            for (Rack rack : dataCentre.racks()) {
                if (rack.mayHold(request.scope(), request.perPart(), acceleratorsOnly)) {
                    best.offer(fill(rack.workers(), request));
                }
            }
        }
    }

    private void placeInDataCentres(PlacementRequest request, Best best) {
        for (DataCentre dataCentre : pool.dataCentres()) {
            List<Worker> candidates = new ArrayList<>();
            for (Rack rack : dataCentre.racks()) {
                if (rack.mayHold(request.scope(), request.perPart(), acceleratorsOnly)) {
                    candidates.addAll(rack.workers());
                }
            }
            best.offer(fill(candidates, request));
        }
    }

    /** Fills the most preferred workers one after the other; returns empty if the gang does not fit. */
    private Optional<GangPlacement> fill(List<Worker> workers, PlacementRequest request) {
        List<Candidate> candidates = new ArrayList<>(workers.size());
        int total = 0;
        for (Worker worker : workers) {
            int fitting = fittingParts(worker, request);
            if (fitting > 0) {
                candidates.add(new Candidate(worker, fitting, preference(worker), candidates.size()));
                total = Math.min(total + fitting, request.parts());
            }
        }
        if (total < request.parts()) {
            return Optional.empty();
        }
        return Optional.of(takeParts(new PriorityQueue<>(candidates), request.parts()));
    }

    private static GangPlacement takeParts(PriorityQueue<Candidate> candidates, int parts) {
        List<Worker> workers = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        int left = parts;
        while (left > 0) {
            Candidate candidate = candidates.remove();
            int taken = Math.min(left, candidate.fittingParts());
            workers.add(candidate.worker());
            counts.add(taken);
            left -= taken;
        }
        return new GangPlacement(
                workers.toArray(Worker[]::new),
                counts.stream().mapToInt(Integer::intValue).toArray());
    }

    /** Returns the rank in which workers are filled, lowest first: fast ones and those with few free accelerators. */
    private double preference(Worker worker) {
        if (!objectiveOn) {
            return 0;
        }
        return fragmentationShare * share(worker.freeAccelerators(), worker)
                + (1 - fragmentationShare) * pool.slowness(worker.speed());
    }

    /** Returns the score of a placement under the objective; lower is better. */
    private double score(GangPlacement placement, PlacementRequest request) {
        if (!objectiveOn) {
            return 0;
        }
        double slowest = 0;
        double left = 0;
        int taken = 0;
        for (int i = 0; i < placement.workers().length; i++) {
            Worker worker = placement.workers()[i];
            int accelerators = placement.counts()[i] * request.perPart().accelerators();
            slowest = Math.max(slowest, pool.slowness(worker.speed()));
            left += share(worker.freeAccelerators() - accelerators, worker);
            taken += accelerators;
        }
        Rack rack = placement.workers()[0].rack();
        double fragmentation = stranded(placement, request.perPart().accelerators(), taken)
                + WORKER_LEFTOVER_WEIGHT * left / placement.workers().length
                + RACK_LEFTOVER_WEIGHT * rack.freeAccelerators() / Math.max(1, rack.capacityAccelerators());
        return fragmentationShare * fragmentation + (1 - fragmentationShare) * slowest;
    }

    /**
     * Returns the change that a placement makes to the free accelerators that the largest guaranteed shape cannot use,
     * as a share of that shape's accelerators.
     */
    private double stranded(GangPlacement placement, int acceleratorsPerPart, int taken) {
        if (largestShape.isEmpty() || taken == 0) {
            return 0;
        }
        Shape shape = largestShape.get();
        int size = Math.max(1, shape.accelerators());
        Rack rack = placement.workers()[0].rack();
        double change = 0;
        switch (shape.adjacency()) {
            case WORKER -> {
                for (int i = 0; i < placement.workers().length; i++) {
                    change += changeOfRemainder(
                            placement.workers()[i].freeAccelerators(),
                            placement.counts()[i] * acceleratorsPerPart,
                            size);
                }
            }
            case RACK -> change = changeOfRemainder(rack.freeAccelerators(), taken, size);
            default -> change = changeOfRemainder(rack.dataCentre().freeAccelerators(), taken, size);
        }
        return change / size;
    }

    private static int changeOfRemainder(int free, int taken, int size) {
        int before = Math.max(0, free);
        return Math.max(0, before - taken) % size - before % size;
    }

    private static double share(int accelerators, Worker worker) {
        int capacity = worker.capacity().accelerators();
        return capacity == 0 ? 0 : Math.max(0, accelerators) / (double) capacity;
    }

    private record Candidate(Worker worker, int fittingParts, double preference, int order)
            implements Comparable<Candidate> {

        @Override
        public int compareTo(Candidate other) {
            int byPreference = Double.compare(preference, other.preference);
            return byPreference != 0 ? byPreference : Integer.compare(order, other.order);
        }
    }

    /** The candidate with the lowest score so far. */
    private final class Best {

        private final PlacementRequest request;
        private GangPlacement placement;
        private double score = Double.MAX_VALUE;

        private Best(PlacementRequest request) {
            this.request = request;
        }

        private Optional<GangPlacement> placement() {
            return Optional.ofNullable(placement);
        }

        private void offer(Worker worker) {
            offer(Optional.of(new GangPlacement(new Worker[] {worker}, new int[] {request.parts()})));
        }

        private void offer(Optional<GangPlacement> candidate) {
            if (candidate.isEmpty()) {
                return;
            }
            double offered = score(candidate.get(), request) + request.penalty().of(candidate.get());
            if (offered < score) {
                score = offered;
                placement = candidate.get();
            }
        }
    }
}
