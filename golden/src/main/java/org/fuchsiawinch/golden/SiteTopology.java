package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * A user's workers and network delays.
 *
 * @param name name of the site and of the folder of its samples
 * @param clientMs one-way delay in ms between callers and nodes
 * @param workerMs one-way delay in ms between nodes and workers
 * @param workers specifications of the workers
 */
record SiteTopology(String name, long clientMs, long workerMs, List<WorkerSpec> workers) {

    private static final int WORKER_COUNT = 30;
    private static final int CPU_MILLIS = 30_000;
    private static final int MIB_PER_GIB = 1024;

    /** Returns the site of the wholesale head office: six workers to a rack. */
    static SiteTopology lagilagi() {
        List<String> racks = List.of("suva-1/a", "suva-1/b", "suva-2/a", "lautoka/a", "nadi/a");
        return new SiteTopology("lagilagi", 3, 1, workers(racks, 6, 128));
    }

    /** Returns the site of the heritage glazing bureau: eight workers to a rack. */
    static SiteTopology bureau() {
        List<String> racks = List.of("taipei/a", "taipei/b", "keelung/a", "hsinchu/a");
        return new SiteTopology("bureau", 1, 1, workers(racks, 8, 64));
    }

    private static List<WorkerSpec> workers(List<String> racks, int workersPerRack, int memoryGib) {
        Resources capacity = new Resources(CPU_MILLIS, memoryGib * MIB_PER_GIB, 8, 8, 64);
        List<WorkerSpec> workers = new ArrayList<>();
        for (int index = 0; index < WORKER_COUNT; index++) {
            String[] rack = racks.get(index / workersPerRack).split("/");
            WorkerId id = new WorkerId(String.format(Locale.ROOT, "w%02d", index));
            workers.add(new WorkerSpec(id, rack[0], rack[0] + "-" + rack[1], capacity, 1.0));
        }
        return List.copyOf(workers);
    }
}
