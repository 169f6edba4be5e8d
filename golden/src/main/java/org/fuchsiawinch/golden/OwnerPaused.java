package org.fuchsiawinch.golden;

import java.util.List;

import org.fuchsiawinch.model.JobSpec;

/** Session in which the cell's owner is paused; another node takes over and fences it. */
final class OwnerPaused {

    private static final long PAUSE_START_MS = 10_250;

    private OwnerPaused() {}

    static Session session() {
        return new Session(
                "lagilagi-owner-paused", SiteTopology.lagilagi(), OwnerPaused::script, 60_000, expectations());
    }

    private static void script(SessionRunner runner) {
        runner.submit(5000, "planner", 1, Jobs.plan("hibiscus", 25_000), Jobs.payload(25_000, "bundles"), true);
        runner.submit(10_000, "labasa", 1, reorder("labasa-17"), Jobs.payload(900, "quote"), true);
        runner.submit(10_150, "nausori", 2, reorder("nausori-4"), Jobs.payload(900, "quote"), true);
        runner.pause(PAUSE_START_MS, 0, 12_000);
        runner.submit(12_000, "savusavu", 2, reorder("savusavu-2"), Jobs.payload(600, "quote"), true);
        runner.submit(20_000, "levuka", 1, reorder("levuka-9"), Jobs.payload(600, "quote"), true);
    }

    private static JobSpec reorder(String key) {
        return Jobs.reorder(key, 1000, Jobs.deadline(300_000));
    }

    private static List<Expectation> expectations() {
        return List.of(
                Expectation.runs("plans.hibiscus", 8, 1),
                Expectation.runs("reorders.labasa-17", 1, 1),
                Expectation.runs("reorders.nausori-4", 1, 1),
                Expectation.runs("reorders.savusavu-2", 1, 1),
                Expectation.runs("reorders.levuka-9", 1, 1),
                Expectation.wholeAnswer("planner", "plans.hibiscus", "bundles", 8),
                Expectation.wholeAnswer("labasa", "reorders.labasa-17", "quote", 1),
                Expectation.wholeAnswer("nausori", "reorders.nausori-4", "quote", 1),
                Expectation.wholeAnswer("savusavu", "reorders.savusavu-2", "quote", 1),
                Expectation.wholeAnswer("levuka", "reorders.levuka-9", "quote", 1));
    }
}
