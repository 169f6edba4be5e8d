package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.DocumentLedger;
import org.fuchsiawinch.document.ledger.LedgerOutcome;
import org.fuchsiawinch.document.ledger.LedgerRecord;
import org.fuchsiawinch.document.ledger.LedgerStep;
import org.fuchsiawinch.document.ledger.VersionEntry;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Document fold based on {@link DocumentLedger}. Not thread-safe. */
public final class LedgerDocumentFold implements DocumentFold {

    private DocumentLedger ledger = DocumentLedger.atLogStart();
    private long lastOffset = -1;

    /** Creates a fold with no document in force. */
    public LedgerDocumentFold() {
        // the ledger starts empty, at the first record of the log
    }

    @Override
    public Optional<Refusal> apply(LogRecord record) {
        return apply(lastOffset + 1, record);
    }

    @Override
    public Optional<Refusal> apply(long offset, LogRecord record) {
        lastOffset = Math.max(lastOffset, offset);
        if (record instanceof LogRecord.DocumentFounded founded) {
            return applyToLedger(offset, new LedgerRecord.Founding(founded.text()));
        }
        if (record instanceof LogRecord.DocumentProposed proposed) {
            return propose(offset, proposed);
        }
        if (record instanceof LogRecord.DocumentRepublished copy) {
            return republish(offset, copy);
        }
        return Optional.empty();
    }

    @Override
    public Optional<VersionInForce> inForce() {
        return ledger.current()
                .map(document -> new VersionInForce(document.version(), document.text(), document.policy()));
    }

    /**
     * Returns the parsed document in force.
     *
     * @return the document, or empty before the first one
     */
    public Optional<Document> document() {
        return ledger.current();
    }

    @Override
    public List<VersionEntry> history() {
        return ledger.history();
    }

    @Override
    public Optional<DocumentCopy> copy(long throughOffset) {
        return ledger.republication(throughOffset)
                .filter(copy -> copy.version() > 0)
                .map(copy -> new DocumentCopy(copy.version(), copy.text(), copy.throughOffset()));
    }

    @Override
    public boolean adopt(DocumentCopy copy) {
        int before = ledger.version();
        LedgerStep step =
                ledger.adopt(LedgerRecord.Republication.of(copy.version(), copy.text(), copy.throughOffset()));
        ledger = step.ledger();
        return ledger.version() > before;
    }

    private Optional<Refusal> propose(long offset, LogRecord.DocumentProposed proposed) {
        Optional<Section> section = Section.ofKey(proposed.section());
        if (section.isEmpty()) {
            return Optional.of(new Refusal(Refusal.Code.INVALID, "unknown section " + proposed.section()));
        }
        return applyToLedger(
                offset,
                new LedgerRecord.Proposal(
                        proposed.team(), section.get(), proposed.baseVersion(), proposed.text(), proposed.signature()));
    }

    /**
     * Adopts a republished document if none is in force, as while a snapshot is loaded; otherwise compares it with the
     * document in force.
     */
    private Optional<Refusal> republish(long offset, LogRecord.DocumentRepublished copy) {
        if (ledger.current().isEmpty()) {
            return adopt(new DocumentCopy(copy.version(), copy.text(), offset))
                    ? Optional.empty()
                    : Optional.of(new Refusal(Refusal.Code.NOT_IN_FORCE, "version " + copy.version()));
        }
        boolean same = ledger.current()
                .filter(document -> document.version() == copy.version())
                .filter(document -> document.text().equals(copy.text()))
                .isPresent();
        return same
                ? Optional.empty()
                : Optional.of(new Refusal(Refusal.Code.NOT_IN_FORCE, "version " + copy.version()));
    }

    private Optional<Refusal> applyToLedger(long offset, LedgerRecord record) {
        boolean founding = record instanceof LedgerRecord.Founding;
        LedgerStep step = ledger.apply(offset, record);
        ledger = step.ledger();
        return refusalOf(step.outcome(), founding);
    }

    private static Optional<Refusal> refusalOf(LedgerOutcome outcome, boolean founding) {
        if (outcome instanceof LedgerOutcome.Conflict conflict) {
            Refusal.Code code = founding ? Refusal.Code.ALREADY_FOUNDED : Refusal.Code.CONFLICT;
            return Optional.of(new Refusal(code, "version " + conflict.currentVersion() + " is in force"));
        }
        if (outcome instanceof LedgerOutcome.AlreadyApplied) {
            return Optional.of(new Refusal(Refusal.Code.UNDECIDED, "reflected by the copy of another node"));
        }
        if (outcome instanceof LedgerOutcome.BadSignature bad) {
            return Optional.of(new Refusal(Refusal.Code.BAD_SIGNATURE, "team " + bad.team()));
        }
        if (outcome instanceof LedgerOutcome.NotOwner notOwner) {
            return Optional.of(new Refusal(Refusal.Code.NOT_OWNER, "team " + notOwner.team()));
        }
        if (outcome instanceof LedgerOutcome.Invalid invalid) {
            return Optional.of(
                    new Refusal(Refusal.Code.INVALID, invalid.problems().toString()));
        }
        return Optional.empty();
    }
}
