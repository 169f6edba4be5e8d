package org.fuchsiawinch.golden;

import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.node.NodeReply;

/** Session with a log outage of ten minutes while jobs run and callers and operators continue to send requests. */
final class LogOutage {

    private static final long OUTAGE_START_MS = 20_000;
    private static final long OUTAGE_MS = 600_000;
    private static final long RETRY_AFTER_MS = 5000;

    private LogOutage() {}

    static Session session() {
        return new Session("lagilagi-log-outage", SiteTopology.lagilagi(), LogOutage::script, 690_000, expectations());
    }

    private static void script(SessionRunner runner) {
        runner.submit(5000, "labasa", 1, reorder("labasa-17", 900_000), Jobs.payload(60_000, "quote"), false);
        runner.submit(5500, "quality", 2, Jobs.certificate("batch-88", 4, 30_000), Jobs.payload(30_000, "glow"), false);
        runner.submit(6000, "planner", 0, Jobs.plan("hibiscus", 640_000), Jobs.payload(635_000, "bundles"), false);
        runner.submit(7000, "nadi", 0, reorder("nadi-1", 300_000), Jobs.payload(500, "quote"), true);
        runner.logOutage(OUTAGE_START_MS, OUTAGE_MS);
        runner.lookUp(30_000, "labasa-asks", 2, "reorders.labasa-17");
        runner.lookUp(30_500, "nadi-asks", 1, "reorders.nadi-1");
        runner.submit(31_000, "nausori", 0, reorder("nausori-4", 900_000), Jobs.payload(700, "quote"), false);
        runner.submit(32_000, "quality-2", 1, Jobs.certificate("batch-89", 4, 5000), Jobs.payload(4000, "glow"), false);
        runner.cancel(33_000, "planner-cancels", 0, "plans.hibiscus");
        runner.proposeAs("engineering", 34_000, "engineering", 2, Section.CAPACITY, LogOutage::shortenCheckpoint);
        runner.lookUp(35_000, "stranger", 2, "reorders.never-seen");
        runner.lookUp(300_000, "labasa-asks-on", 0, "reorders.labasa-17");
        runner.submit(630_000, "nausori-again", 0, reorder("nausori-4", 900_000), Jobs.payload(700, "quote"), true);
        runner.proposeAs(
                "engineering-again", 632_000, "engineering", 2, Section.CAPACITY, LogOutage::shortenCheckpoint);
        runner.submit(660_000, "labasa-later", 2, reorder("labasa-17", 900_000), Jobs.payload(60_000, "quote"), true);
        runner.submit(
                661_000,
                "quality-later",
                1,
                Jobs.certificate("batch-88", 4, 30_000),
                Jobs.payload(30_000, "glow"),
                true);
        runner.submit(
                662_000, "planner-later", 1, Jobs.plan("hibiscus", 640_000), Jobs.payload(635_000, "bundles"), true);
    }

    private static JobSpec reorder(String key, long deadlineMs) {
        return Jobs.reorder(key, 60_000, Jobs.deadline(deadlineMs));
    }

    private static String shortenCheckpoint(String capacity) {
        return capacity.replace("checkpoint: 20s", "checkpoint: 15s");
    }

    private static List<Expectation> expectations() {
        OptionalLong retry = OptionalLong.of(RETRY_AFTER_MS);
        return List.of(
                Expectation.runs("reorders.labasa-17", 1, 1),
                Expectation.runs("certificates.batch-88", 4, 1),
                Expectation.runs("plans.hibiscus", 8, 1),
                Expectation.runs("reorders.nadi-1", 1, 1),
                Expectation.runs("reorders.nausori-4", 1, 1),
                Expectation.neverRan("certificates.batch-89"),
                Expectation.wholeAnswer("nadi", "reorders.nadi-1", "quote", 1),
                Expectation.wholeAnswer("nadi-asks", "reorders.nadi-1", "quote", 1),
                Expectation.refused("nausori", NodeReply.RefusalCode.LOG_UNAVAILABLE, retry),
                Expectation.refused("quality-2", NodeReply.RefusalCode.LOG_UNAVAILABLE, retry),
                Expectation.refused("planner-cancels", NodeReply.RefusalCode.LOG_UNAVAILABLE, retry),
                Expectation.refused("engineering", NodeReply.RefusalCode.LOG_UNAVAILABLE, retry),
                Expectation.undecided("labasa-asks"),
                Expectation.undecided("labasa-asks-on"),
                Expectation.undecided("stranger"),
                Expectation.wholeAnswer("nausori-again", "reorders.nausori-4", "quote", 1),
                Expectation.wholeAnswer("labasa-later", "reorders.labasa-17", "quote", 1),
                Expectation.wholeAnswer("quality-later", "certificates.batch-88", "glow", 4),
                Expectation.wholeAnswer("planner-later", "plans.hibiscus", "bundles", 8),
                Expectation.accepted("engineering-again", 2),
                Expectation.documents("n0", 2, 644_000),
                Expectation.documents("n1", 2, 644_000),
                Expectation.documents("n2", 2, 644_000));
    }
}
