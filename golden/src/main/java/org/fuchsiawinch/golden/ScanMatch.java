package org.fuchsiawinch.golden;

import java.util.List;

import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Session in which append answers of a scan match are lost and its caller repeats the request at other nodes. */
final class ScanMatch {

    private ScanMatch() {}

    static Session session() {
        return new Session("bureau-scan-match", SiteTopology.bureau(), ScanMatch::script, 45_000, expectations());
    }

    private static void script(SessionRunner runner) {
        JobSpec scan = Jobs.scan("temple-panel-3", 15_000, Jobs.deadline(600_000));
        String payload = Jobs.payload(12_000, "cartoon 1911");
        runner.loseNextAnswer(5000, 1, LogRecord.JobAccepted.class);
        runner.loseNextAnswer(5000, 0, LogRecord.AttemptPlaced.class);
        runner.loseNextAnswer(5000, 0, LogRecord.AttemptReleased.class);
        runner.loseNextAnswer(15_000, 0, LogRecord.JobFinished.class);
        runner.submit(6000, "conservator", 1, scan, payload, true);
        runner.submit(6004, "conservator-retry", 2, scan, payload, true);
        runner.submit(8000, "conservator-late", 0, scan, payload, true);
        runner.submit(7000, "glazier", 2, Jobs.colour("amber-12", 800), Jobs.payload(700, "match"), true);
        runner.submit(7500, "tracer", 0, Jobs.tracing("came-5", 3000), Jobs.payload(2500, "lines"), true);
        runner.submit(40_000, "conservator-next-day", 2, scan, payload, false);
    }

    private static List<Expectation> expectations() {
        return List.of(
                Expectation.runs("scans.temple-panel-3", 16, 1),
                Expectation.runs("colour.amber-12", 1, 1),
                Expectation.runs("tracing.came-5", 4, 1),
                Expectation.wholeAnswer("conservator", "scans.temple-panel-3", "cartoon 1911", 16),
                Expectation.wholeAnswer("conservator-retry", "scans.temple-panel-3", "cartoon 1911", 16),
                Expectation.wholeAnswer("conservator-late", "scans.temple-panel-3", "cartoon 1911", 16),
                Expectation.wholeAnswer("conservator-next-day", "scans.temple-panel-3", "cartoon 1911", 16),
                Expectation.wholeAnswer("glazier", "colour.amber-12", "match", 1),
                Expectation.wholeAnswer("tracer", "tracing.came-5", "lines", 4));
    }
}
