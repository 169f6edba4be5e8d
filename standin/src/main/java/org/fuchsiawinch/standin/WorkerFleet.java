package org.fuchsiawinch.standin;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/** Worker fleets of the two users at their present size of 30 workers each. */
public enum WorkerFleet {
    /** Four data centres, six workers to a rack, 128 GiB of memory for each worker. */
    LAGILAGI(List.of("suva-1", "suva-2", "lautoka", "nadi"), 6, 131_072),
    /** Three data centres, eight workers to a rack, 64 GiB of memory for each worker. */
    BUREAU(List.of("taipei", "keelung", "hsinchu"), 8, 65_536);

    private static final int WORKER_COUNT = 30;
    /** Speeds relative to a worker of speed 1; the sequence is repeated over the workers. */
    private static final double[] SPEEDS = {1.0, 1.6, 0.8, 1.25, 2.0};

    private final List<String> dataCentres;
    private final int rackSize;
    private final Resources capacity;

    WorkerFleet(List<String> dataCentres, int rackSize, int memoryMb) {
        this.dataCentres = dataCentres;
        this.rackSize = rackSize;
        this.capacity = new Resources(30_000, memoryMb, 8, 8, 64);
    }

    /**
     * Returns the specifications of the workers.
     *
     * @return 30 workers, ordered by rack
     */
    public List<WorkerSpec> workers() {
        List<WorkerSpec> workers = new ArrayList<>();
        for (int i = 0; i < WORKER_COUNT; i++) {
            int rack = i / rackSize;
            String dataCentre = dataCentres.get(rack % dataCentres.size());
            WorkerId id = new WorkerId(String.format("w%02d", i));
            workers.add(new WorkerSpec(id, dataCentre, "r" + rack, capacity, SPEEDS[i % SPEEDS.length]));
        }
        return workers;
    }
}
