package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Samples;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;

/** Creates signed changes of the Lagilagi sample document. */
final class SampleProposals {

    static final String TEXT = Samples.text("lagilagi");

    private SampleProposals() {}

    static SectionSigner signer(String team) {
        return SectionSigner.ofPem(team, Samples.key("lagilagi", team));
    }

    static Proposal checkpoint(Document base, int seconds) {
        String text = base.sectionTexts()
                .get(Section.CAPACITY)
                .replaceFirst("checkpoint: [0-9]+s", "checkpoint: " + seconds + "s");
        return signer("engineering").sign("engineering", base, Section.CAPACITY, text);
    }

    static Proposal planLimit(Document base, int amount) {
        String text = base.sectionTexts()
                .get(Section.SPENDING)
                .replaceFirst("plans: \\{amount: [0-9.]+", "plans: {amount: " + amount);
        return signer("finance").sign("finance", base, Section.SPENDING, text);
    }
}
