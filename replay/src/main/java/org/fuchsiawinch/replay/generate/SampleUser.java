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
                    new RackPlan("suva-1", "r1", 6, 1.4),
                    new RackPlan("suva-1", "r2", 6, 0.7),
                    new RackPlan("suva-2", "r1", 6, 1.0),
                    new RackPlan("lautoka", "r1", 6, 1.0),
                    new RackPlan("nadi", "r1", 6, 0.6)),
            lagilagiWork()),
    /** Heritage bureau with three data centres, up to eight workers per rack. */
    BUREAU(
            "bureau",
            65_536,
            List.of(
                    new RackPlan("taipei", "r1", 8, 1.3),
                    new RackPlan("taipei", "r2", 8, 0.7),
                    new RackPlan("keelung", "r1", 8, 1.0),
                    new RackPlan("hsinchu", "r1", 6, 0.8)),
            bureauWork());

    private final String label;
    private final int memoryMb;
    private final List<RackPlan> racks;
    private final List<WorkPlan> work;

    SampleUser(String label, int memoryMb, List<RackPlan> racks, List<WorkPlan> work) {
        this.label = label;
        this.memoryMb = memoryMb;
        this.racks = racks;
        this.work = work;
    }

    /**
     * Returns the short name.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }

    int memoryMb() {
        return memoryMb;
    }

    List<RackPlan> racks() {
        return racks;
    }

    List<WorkPlan> work() {
        return work;
    }

    WorkPlan work(String kind) {
        return work.stream()
                .filter(plan -> plan.kind().equals(kind))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the kind of the user's large gangs. */
    String gangKind() {
        return this == LAGILAGI ? "bundle" : "scan";
    }

    /** Returns the kind of the user's shortest and most urgent jobs. */
    String quickKind() {
        return this == LAGILAGI ? "reorder" : "colour";
    }

    /** Returns the kind of the user's small jobs of normal urgency. */
    String checkKind() {
        return this == LAGILAGI ? "certificate" : "tracing";
    }

    private static List<WorkPlan> lagilagiWork() {
        return List.of(
                new WorkPlan(
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
                new WorkPlan(
                        "reorders",
                        "reorder",
                        List.of(new GangSize(100, 1, 1, Adjacency.WORKER)),
                        60,
                        20,
                        120,
                        1.0,
                        0,
                        Urgency.URGENT),
                new WorkPlan(
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
                new WorkPlan(
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

    private static List<WorkPlan> bureauWork() {
        return List.of(
                new WorkPlan(
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
                new WorkPlan(
                        "colour",
                        "colour",
                        List.of(new GangSize(100, 1, 1, Adjacency.WORKER)),
                        70,
                        20,
                        90,
                        0,
                        0,
                        Urgency.URGENT),
                new WorkPlan(
                        "tracing",
                        "tracing",
                        List.of(new GangSize(60, 4, 1, Adjacency.WORKER), new GangSize(40, 2, 1, Adjacency.WORKER)),
                        28,
                        180,
                        900,
                        0,
                        0.5,
                        Urgency.NORMAL),
                new WorkPlan(
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
