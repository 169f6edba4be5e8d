package org.fuchsiawinch.golden;

import java.util.List;

import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.protocol.fold.DocumentFold;

/** Session in which engineering and finance propose changes of one base version to different nodes at the same time. */
final class DocumentRace {

    private static final long IN_FORCE_BOUND_MS = 12_000;
    private static final long THIRD_VERSION_PROPOSED_MS = 6000;

    private DocumentRace() {}

    static Session session() {
        return new Session("bureau-document-race", SiteTopology.bureau(), DocumentRace::script, 30_000, expectations());
    }

    private static void script(SessionRunner runner) {
        runner.propose(
                5000, "engineering", 1, Section.CAPACITY, text -> text.replace("checkpoint: 20s", "checkpoint: 15s"));
        runner.propose(5000, "finance", 2, Section.SPENDING, DocumentRace::lowerScans);
        runner.propose(6000, "finance", 2, Section.SPENDING, DocumentRace::lowerScans);
        runner.proposeAs("engineering-spending", 8000, "engineering", 0, Section.SPENDING, DocumentRace::lowerScans);
        runner.proposeAs("finance-typo", 9000, "finance", 0, Section.SPENDING, text -> text.replace("24h", "24 hours"));
        runner.submit(10_000, "glazier", 2, Jobs.colour("amber-12", 800), Jobs.payload(700, "match"), true);
    }

    private static String lowerScans(String spending) {
        return spending.replace("scans: {amount: 150000.00", "scans: {amount: 120000.00");
    }

    private static List<Expectation> expectations() {
        return List.of(
                Expectation.accepted("engineering", 2),
                Expectation.firstReplyRejected("finance", 2, DocumentFold.Refusal.Code.CONFLICT),
                Expectation.accepted("finance", 3),
                Expectation.rejected("engineering-spending", 3, DocumentFold.Refusal.Code.NOT_OWNER),
                Expectation.rejected("finance-typo", 3, DocumentFold.Refusal.Code.INVALID),
                Expectation.documents("n0", 3, THIRD_VERSION_PROPOSED_MS + IN_FORCE_BOUND_MS),
                Expectation.documents("n1", 3, THIRD_VERSION_PROPOSED_MS + IN_FORCE_BOUND_MS),
                Expectation.documents("n2", 3, THIRD_VERSION_PROPOSED_MS + IN_FORCE_BOUND_MS),
                Expectation.wholeAnswer("glazier", "colour.amber-12", "match", 1));
    }
}
