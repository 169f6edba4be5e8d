package org.fuchsiawinch.golden;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.node.NodeReply;

/**
 * Session of the wholesale office before a festival, without faults: bundle plans, reorders and certificate checks. One
 * reorder is submitted to two nodes at once, one reuses a key and one has no deadline.
 */
final class FestivalMorning {

    /** Bound in ms from a reorder's submission to its start. */
    private static final long START_BOUND_MS = 6300;

    private FestivalMorning() {}

    static Session session() {
        return new Session(
                "lagilagi-festival-morning", SiteTopology.lagilagi(), FestivalMorning::script, 60_000, expectations());
    }

    private static void script(SessionRunner runner) {
        runner.submit(5000, "planner", 0, Jobs.plan("hibiscus", 20_000), Jobs.payload(18_000, "bundles"), true);
        runner.submit(5010, "season", 1, Jobs.seasonPlan("diwali", 25_000), Jobs.payload(25_000, "season"), true);
        runner.submit(6000, "labasa", 0, reorder("labasa-17"), Jobs.payload(900, "quote"), true);
        runner.submit(6000, "labasa-again", 1, reorder("labasa-17"), Jobs.payload(900, "quote"), true);
        runner.submit(6200, "nausori", 2, reorder("nausori-4"), Jobs.payload(700, "quote"), true);
        runner.submit(6400, "levuka", 2, Jobs.reorder("levuka-9", 1000, OptionalLong.empty()), "run-ms=500\n", false);
        runner.submit(7000, "quality", 2, Jobs.certificate("batch-88", 4, 5000), Jobs.payload(4000, "glow"), true);
        runner.submit(7050, "quality-2", 1, Jobs.certificate("batch-89", 4, 5000), Jobs.payload(4500, "glow"), true);
        runner.submit(9000, "labasa-other", 2, reorder("labasa-17"), Jobs.payload(900, "other"), false);
        runner.submit(9500, "savusavu", 1, reorder("savusavu-2"), Jobs.payload(600, "quote"), true);
        runner.submit(10_000, "planner-2", 2, Jobs.plan("bula", 20_000), Jobs.payload(15_000, "bundles"), true);
        runner.submit(45_000, "labasa-later", 2, reorder("labasa-17"), Jobs.payload(900, "quote"), false);
    }

    private static JobSpec reorder(String key) {
        return Jobs.reorder(key, 1000, Jobs.deadline(300_000));
    }

    private static List<Expectation> expectations() {
        return List.of(
                Expectation.runs("plans.hibiscus", 8, 1),
                Expectation.runs("plans.diwali", 16, 1),
                Expectation.runs("plans.bula", 8, 1),
                Expectation.runs("reorders.labasa-17", 1, 1),
                Expectation.runs("reorders.nausori-4", 1, 1),
                Expectation.runs("reorders.savusavu-2", 1, 1),
                Expectation.runs("certificates.batch-88", 4, 1),
                Expectation.runs("certificates.batch-89", 4, 1),
                Expectation.startedWithin("reorders.labasa-17", 6000, START_BOUND_MS),
                Expectation.startedWithin("reorders.nausori-4", 6200, START_BOUND_MS),
                Expectation.startedWithin("reorders.savusavu-2", 9500, START_BOUND_MS),
                Expectation.neverRan("reorders.levuka-9"),
                Expectation.wholeAnswer("planner", "plans.hibiscus", "bundles", 8),
                Expectation.wholeAnswer("season", "plans.diwali", "season", 16),
                Expectation.wholeAnswer("planner-2", "plans.bula", "bundles", 8),
                Expectation.wholeAnswer("labasa", "reorders.labasa-17", "quote", 1),
                Expectation.wholeAnswer("labasa-again", "reorders.labasa-17", "quote", 1),
                Expectation.wholeAnswer("labasa-later", "reorders.labasa-17", "quote", 1),
                Expectation.wholeAnswer("nausori", "reorders.nausori-4", "quote", 1),
                Expectation.wholeAnswer("savusavu", "reorders.savusavu-2", "quote", 1),
                Expectation.wholeAnswer("quality", "certificates.batch-88", "glow", 4),
                Expectation.wholeAnswer("quality-2", "certificates.batch-89", "glow", 4),
                Expectation.refused("levuka", NodeReply.RefusalCode.DEADLINE, OptionalLong.empty()),
                Expectation.refused("labasa-other", NodeReply.RefusalCode.KEY_REUSED, OptionalLong.empty()),
                Expectation.documents("n0", 1, 12_500),
                Expectation.documents("n1", 1, 12_500),
                Expectation.documents("n2", 1, 12_500));
    }
}
