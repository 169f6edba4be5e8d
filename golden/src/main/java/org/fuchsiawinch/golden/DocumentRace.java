package org.fuchsiawinch.golden;

import java.util.List;

import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.protocol.fold.DocumentFold;

/** Session in which engineering and finance propose changes of one base version to different nodes at the same time. */
final class DocumentRace {

    private static final long IN_FORCE_BOUND_MS = 12_000;
    private static final long THIRD_VERSION_MS = 6000;

    private DocumentRace() {}

    static Session session() {
        return new Session("bureau-document-race", Site.bureau(), DocumentRace::script, 30_000, promises());
    }

    private static void script(SessionRunner run) {
        run.propose(
                5000, "engineering", 1, Section.CAPACITY, text -> text.replace("checkpoint: 20s", "checkpoint: 15s"));
        run.propose(5000, "finance", 2, Section.SPENDING, DocumentRace::lowerScans);
        run.propose(6000, "finance", 2, Section.SPENDING, DocumentRace::lowerScans);
        run.proposeAs("engineering-spending", 8000, "engineering", 0, Section.SPENDING, DocumentRace::lowerScans);
        run.proposeAs("finance-typo", 9000, "finance", 0, Section.SPENDING, text -> text.replace("24h", "24 hours"));
        run.submit(10_000, "glazier", 2, Jobs.colour("amber-12", 800), Jobs.payload(700, "match"), true);
    }

    private static String lowerScans(String spending) {
        return spending.replace("scans: {amount: 150000.00", "scans: {amount: 120000.00");
    }

    private static List<Expectation> promises() {
        return List.of(
                Expectation.accepted("engineering", 2),
                Expectation.firstAnswerRejected("finance", 2, DocumentFold.Refusal.Code.CONFLICT),
                Expectation.accepted("finance", 3),
                Expectation.rejected("engineering-spending", 3, DocumentFold.Refusal.Code.NOT_OWNER),
                Expectation.rejected("finance-typo", 3, DocumentFold.Refusal.Code.INVALID),
                Expectation.documents("n0", 3, THIRD_VERSION_MS + IN_FORCE_BOUND_MS),
                Expectation.documents("n1", 3, THIRD_VERSION_MS + IN_FORCE_BOUND_MS),
                Expectation.documents("n2", 3, THIRD_VERSION_MS + IN_FORCE_BOUND_MS),
                Expectation.wholeAnswer("glazier", "colour.amber-12", "match", 1));
    }
}
