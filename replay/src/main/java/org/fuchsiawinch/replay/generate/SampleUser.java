package org.fuchsiawinch.replay.generate;

import java.util.List;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Urgency;

/** Users whose workers and base load the sample traces model. */
public enum SampleUser {
    /** Franchise holding with four data centres, six workers per rack. */
    LAGILAGI(
            "lagilagi",
            131_072,
            List.of(
                    new RackSpec("suva-1", "r1", 6, 1.4),
                    new RackSpec("suva-1", "r2", 6, 0.7),
                    new RackSpec("suva-2", "r1", 6, 1.0),
                    new RackSpec("lautoka", "r1", 6, 1.0),
                    new RackSpec("nadi", "r1", 6, 0.6)),
            lagilagiWorkloads()),
    /** Heritage bureau with three data centres, up to eight workers per rack. */
    BUREAU(
            "bureau",
            65_536,
            List.of(
                    new RackSpec("taipei", "r1", 8, 1.3),
                    new RackSpec("taipei", "r2", 8, 0.7),
                    new RackSpec("keelung", "r1", 8, 1.0),
                    new RackSpec("hsinchu", "r1", 6, 0.8)),
            bureauWorkloads());

    private final String label;
    private final int workerMemoryMb;
    private final List<RackSpec> racks;
    private final List<Workload> workloads;

    SampleUser(String label, int workerMemoryMb, List<RackSpec> racks, List<Workload> workloads) {
        this.label = label;
        this.workerMemoryMb = workerMemoryMb;
        this.racks = racks;
        this.workloads = workloads;
    }

    /**
     * Returns the short name.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }

    int workerMemoryMb() {
        return workerMemoryMb;
    }

    List<RackSpec> racks() {
        return racks;
    }

    List<Workload> workloads() {
        return workloads;
    }

    Workload workload(String kind) {
        return workloads.stream()
                .filter(workload -> workload.kind().equals(kind))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the kind of the user's large gangs. */
    String gangKind() {
        return this == LAGILAGI ? "bundle" : "scan";
    }

    /** Returns the kind of the user's shortest and most urgent jobs. */
    String urgentKind() {
        return this == LAGILAGI ? "reorder" : "colour";
    }

    /** Returns the kind of the user's small jobs of normal urgency. */
    String smallKind() {
        return this == LAGILAGI ? "certificate" : "tracing";
    }

    private static List<Workload> lagilagiWorkloads() {
        return List.of(
                new Workload(
                        "plans",
                        "bundle",
                        List.of(
                                new GangSize(40, 8, 1, Adjacency.RACK),
                                new GangSize(35, 16, 2, Adjacency.DATA_CENTRE),
                                new GangSize(15, 32, 1, Adjacency.DATA_CENTRE),
                                new GangSize(10, 64, 1, Adjacency.DATA_CENTRE)),
                        9,
                        600,
                        3_000,
                        0,
                        1.0,
                        Urgency.NORMAL),
                new Workload(
                        "reorders",
                        "reorder",
                        List.of(new GangSize(100, 1, 1, Adjacency.WORKER)),
                        60,
                        20,
                        120,
                        1.0,
                        0,
                        Urgency.URGENT),
                new Workload(
                        "certificates",
                        "certificate",
                        List.of(
                                new GangSize(50, 1, 1, Adjacency.WORKER),
                                new GangSize(30, 2, 1, Adjacency.WORKER),
                                new GangSize(20, 4, 1, Adjacency.WORKER)),
                        50,
                        60,
                        400,
                        0,
                        0.3,
                        Urgency.NORMAL),
                new Workload(
                        "forecasts",
                        "forecast",
                        List.of(
                                new GangSize(60, 4, 1, Adjacency.DATA_CENTRE),
                                new GangSize(40, 16, 1, Adjacency.DATA_CENTRE)),
                        8,
                        1_200,
                        5_400,
                        0,
                        1.0,
                        Urgency.BACKGROUND));
    }

    private static List<Workload> bureauWorkloads() {
        return List.of(
                new Workload(
                        "scans",
                        "scan",
                        List.of(
                                new GangSize(45, 16, 1, Adjacency.RACK),
                                new GangSize(25, 16, 2, Adjacency.DATA_CENTRE),
                                new GangSize(18, 32, 1, Adjacency.RACK),
                                new GangSize(12, 64, 1, Adjacency.RACK)),
                        6,
                        900,
                        3_600,
                        0.3,
                        1.0,
                        Urgency.NORMAL),
                new Workload(
                        "colour",
                        "colour",
                        List.of(new GangSize(100, 1, 1, Adjacency.WORKER)),
                        70,
                        20,
                        90,
                        0,
                        0,
                        Urgency.URGENT),
                new Workload(
                        "tracing",
                        "tracing",
                        List.of(new GangSize(60, 4, 1, Adjacency.WORKER), new GangSize(40, 2, 1, Adjacency.WORKER)),
                        28,
                        180,
                        900,
                        0,
                        0.5,
                        Urgency.NORMAL),
                new Workload(
                        "archive",
                        "archive",
                        List.of(new GangSize(70, 8, 1, Adjacency.RACK), new GangSize(30, 4, 1, Adjacency.WORKER)),
                        10,
                        1_500,
                        5_400,
                        0,
                        1.0,
                        Urgency.BACKGROUND));
    }
}
