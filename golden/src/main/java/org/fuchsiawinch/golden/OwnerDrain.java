package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.node.NodeReply;

/** Session in which the cell's owner is drained while jobs run, start and wait. */
final class OwnerDrain {

    private static final int CHECKS = 6;
    /** Bound in ms from a submission during the handover to the start of the job. */
    private static final long START_BOUND_MS = 6300;

    private OwnerDrain() {}

    static Session session() {
        return new Session("bureau-drain", SiteTopology.bureau(), OwnerDrain::script, 60_000, expectations());
    }

    private static void script(SessionRunner runner) {
        runner.submit(5000, "conservator", 0, scan(), Jobs.payload(20_000, "cartoon 1911"), true);
        runner.submit(14_900, "tracer", 0, Jobs.tracing("came-5", 8000), Jobs.payload(8000, "lines"), true);
        for (int index = 0; index < CHECKS; index++) {
            JobSpec check = Jobs.colour("amber-" + index, 3000);
            runner.submit(14_800 + index * 50, "glazier-" + index, index % 3, check, Jobs.payload(2000, "match"), true);
        }
        runner.drain(15_000, 0);
        runner.submit(15_010, "latecomer", 0, Jobs.colour("ruby-1", 800), Jobs.payload(700, "match"), false);
        runner.submit(15_500, "other-door", 2, Jobs.colour("ruby-2", 800), Jobs.payload(700, "match"), true);
    }

    private static JobSpec scan() {
        return Jobs.scan("temple-panel-3", 20_000, Jobs.deadline(600_000));
    }

    private static List<Expectation> expectations() {
        List<Expectation> expectations = new ArrayList<>();
        expectations.add(Expectation.drained("n0"));
        expectations.add(Expectation.runs("scans.temple-panel-3", 16, 1));
        expectations.add(Expectation.wholeAnswer("conservator", "scans.temple-panel-3", "cartoon 1911", 16));
        expectations.add(Expectation.wholeAnswer("tracer", "tracing.came-5", "lines", 4));
        for (int index = 0; index < CHECKS; index++) {
            expectations.add(Expectation.wholeAnswer("glazier-" + index, "colour.amber-" + index, "match", 1));
        }
        expectations.add(Expectation.refused("latecomer", NodeReply.RefusalCode.DRAINING, OptionalLong.empty()));
        expectations.add(Expectation.neverRan("colour.ruby-1"));
        expectations.add(Expectation.wholeAnswer("other-door", "colour.ruby-2", "match", 1));
        expectations.add(Expectation.startedWithin("colour.ruby-2", 15_500, START_BOUND_MS));
        return expectations;
    }
}
