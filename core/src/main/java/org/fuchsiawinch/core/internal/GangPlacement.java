package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.model.Placement;

/**
 * The workers of a gang's parts, as groups of consecutive parts on one worker each.
 *
 * @param workers worker of each group
 * @param counts number of parts in each group
 */
record GangPlacement(Worker[] workers, int[] counts) {

    /** Creates the placement of a recovered attempt; sorts the parts and groups consecutive ones by worker. */
    static GangPlacement of(List<Placement> placements, WorkerPool pool) {
        List<Placement> ordered = new ArrayList<>(placements);
        ordered.sort((a, b) -> Integer.compare(a.part(), b.part()));
        List<Worker> workers = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        for (Placement placement : ordered) {
            Worker worker = pool.resolve(placement.worker());
            int last = workers.size() - 1;
            if (last >= 0 && workers.get(last) == worker) {
                counts.set(last, counts.get(last) + 1);
                continue;
            }
            workers.add(worker);
            counts.add(1);
        }
        return new GangPlacement(
                workers.toArray(Worker[]::new),
                counts.stream().mapToInt(Integer::intValue).toArray());
    }

    double slowestSpeed() {
        double slowest = Double.MAX_VALUE;
        for (Worker worker : workers) {
            slowest = Math.min(slowest, worker.speed());
        }
        return slowest;
    }

    List<Placement> placements() {
        List<Placement> placements = new ArrayList<>();
        for (int i = 0; i < workers.length; i++) {
            for (int n = 0; n < counts[i]; n++) {
                placements.add(new Placement(placements.size(), workers[i].id()));
            }
        }
        return placements;
    }

    /** Returns the worker of a part, counted from 0. */
    Worker workerOf(int part) {
        int seen = 0;
        for (int i = 0; i < workers.length; i++) {
            seen += counts[i];
            if (part < seen) {
                return workers[i];
            }
        }
        throw new IndexOutOfBoundsException("part " + part + " of a gang of " + seen + " parts");
    }

    boolean uses(Worker worker) {
        for (Worker each : workers) {
            if (each == worker) {
                return true;
            }
        }
        return false;
    }
}
