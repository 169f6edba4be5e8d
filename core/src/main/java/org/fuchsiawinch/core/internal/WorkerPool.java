package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** All workers by id and by location. Iterates in order of data centre, rack and worker id. Not thread-safe. */
final class WorkerPool {

    private static final int MAX_DEPARTED_KEPT = 2048;
    private static final int MAX_SHAPES_KEPT = 1024;

    private final Map<WorkerId, Worker> workers = new HashMap<>();
    private final MisfitCache misfitCache = new MisfitCache();
    private final TreeMap<String, DataCentre> dataCentres = new TreeMap<>();
    private final Map<WorkerId, WorkerSpec> departed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkerId, WorkerSpec> eldest) {
            return size() > MAX_DEPARTED_KEPT;
        }
    };
    private final Map<Shape, Boolean> feasibleShapes = new HashMap<>();
    private int feasibleVersion;
    private double minSpeed = Double.MAX_VALUE;
    private double maxSpeed;
    private int maxMemoryMb;
    private boolean boundsStale;
    private int joinedCount;
    private int capacityVersion;

    Collection<DataCentre> dataCentres() {
        return dataCentres.values();
    }

    MisfitCache misfitCache() {
        return misfitCache;
    }

    int joinedCount() {
        return joinedCount;
    }

    /** Returns a number that changes whenever a worker joins, changes or is lost. */
    int capacityVersion() {
        return capacityVersion;
    }

    Optional<Worker> find(WorkerId id) {
        return Optional.ofNullable(workers.get(id));
    }

    /** Returns a worker; creates one that accepts no work if an attempt was recovered before its worker joined. */
    Worker resolve(WorkerId id) {
        return workers.computeIfAbsent(id, key -> new Worker(key, misfitCache));
    }

    Worker join(WorkerSpec spec) {
        Worker worker = resolve(spec.id());
        departed.remove(spec.id());
        Rack rack =
                dataCentres.computeIfAbsent(spec.dataCentre(), DataCentre::new).rack(spec.rack());
        if (worker.joined()) {
            boundsStale = true;
        } else {
            joinedCount++;
        }
        if (worker.rack() != rack) {
            detach(worker);
            rack.add(worker);
        }
        worker.join(spec, rack);
        includeInBounds(worker);
        capacityVersion++;
        return worker;
    }

    /** Removes a lost worker; it stays resolvable until its last attempt is released. */
    void remove(Worker worker) {
        if (worker.joined()) {
            joinedCount--;
            departed.put(worker.id(), worker.spec());
        }
        detach(worker);
        worker.markLost();
        boundsStale = true;
        capacityVersion++;
        forgetIfIdle(worker);
    }

    /**
     * Returns whether the present and former workers together could hold a shape if they were empty; true while no
     * worker has joined, since nothing is known yet.
     */
    boolean couldHold(Shape shape) {
        if (joinedCount == 0) {
            return true;
        }
        if (feasibleVersion != capacityVersion || feasibleShapes.size() > MAX_SHAPES_KEPT) {
            feasibleShapes.clear();
            feasibleVersion = capacityVersion;
        }
        return feasibleShapes.computeIfAbsent(shape, this::computeFeasible);
    }

    /** Returns whether the workers that accept work, except some, could hold a shape if they were empty. */
    boolean couldHoldNow(Shape shape, Set<WorkerId> without) {
        return canHold(
                joinedWorkers().stream()
                        .filter(worker -> worker.acceptsWork() && !without.contains(worker.id()))
                        .map(Worker::spec)
                        .toList(),
                shape);
    }

    private boolean computeFeasible(Shape shape) {
        List<WorkerSpec> known = new ArrayList<>(departed.values());
        joinedWorkers().forEach(worker -> known.add(worker.spec()));
        return canHold(known, shape);
    }

    private static boolean canHold(List<WorkerSpec> workers, Shape shape) {
        Map<String, Long> partsByDomain = new HashMap<>();
        for (WorkerSpec spec : workers) {
            String domain =
                    switch (shape.adjacency()) {
                        case WORKER -> spec.id().value();
                        case RACK -> spec.dataCentre() + ' ' + spec.rack();
                        default -> spec.dataCentre();
                    };
            long fitting = new MutableResources().fittingParts(spec.capacity(), shape.perPart());
            if (partsByDomain.merge(domain, fitting, Long::sum) >= shape.parts()) {
                return true;
            }
        }
        return false;
    }

    /** Removes a worker without attempts that has not joined or was lost. */
    void forgetIfIdle(Worker worker) {
        if (!worker.joined() && worker.attempts().isEmpty()) {
            workers.remove(worker.id());
        }
    }

    /** Returns the relative run time at the given speed: 0 for the fastest worker, 1 for the slowest. */
    double slowness(double speed) {
        refreshBounds();
        if (maxSpeed <= minSpeed) {
            return 0;
        }
        return (maxSpeed / speed - 1) / (maxSpeed / minSpeed - 1);
    }

    /** Returns the memory in MiB of the largest worker; 0 without workers. */
    int maxMemoryMb() {
        refreshBounds();
        return maxMemoryMb;
    }

    double maxSpeed() {
        refreshBounds();
        return maxSpeed;
    }

    List<Worker> joinedWorkers() {
        List<Worker> all = new ArrayList<>(joinedCount);
        dataCentres.values().forEach(dc -> dc.racks().forEach(rack -> all.addAll(rack.workers())));
        return all;
    }

    private static void detach(Worker worker) {
        if (worker.rack() != null) {
            worker.rack().remove(worker);
        }
    }

    private void refreshBounds() {
        if (!boundsStale) {
            return;
        }
        boundsStale = false;
        minSpeed = Double.MAX_VALUE;
        maxSpeed = 0;
        maxMemoryMb = 0;
        for (Worker worker : joinedWorkers()) {
            includeInBounds(worker);
        }
    }

    private void includeInBounds(Worker worker) {
        minSpeed = Math.min(minSpeed, worker.speed());
        maxSpeed = Math.max(maxSpeed, worker.speed());
        maxMemoryMb = Math.max(maxMemoryMb, worker.capacity().memoryMb());
    }
}
