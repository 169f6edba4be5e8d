package org.fuchsiawinch.document.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentProblem;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.Team;
import org.fuchsiawinch.document.internal.Digests;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Accepted;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Adopted;
import org.fuchsiawinch.document.ledger.LedgerOutcome.AlreadyApplied;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Conflict;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Inconsistency;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Inconsistent;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Invalid;
import org.fuchsiawinch.document.ledger.LedgerOutcome.NotNewer;
import org.fuchsiawinch.document.ledger.LedgerOutcome.Pending;
import org.fuchsiawinch.document.ledger.LedgerOutcome.ResolvedRecord;
import org.fuchsiawinch.document.ledger.LedgerRecord.DeltaProposal;
import org.fuchsiawinch.document.ledger.LedgerRecord.Genesis;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.fuchsiawinch.document.ledger.LedgerRecord.Republication;

/**
 * Fold over the document's records in log order. Its state depends on the records alone, so that all readers of the log
 * agree on the version in force at each offset. A reader that lacks earlier records keeps later ones pending until a
 * republished state covers the gap. The version in force never decreases. Immutable; each step returns a new ledger.
 */
public final class DocumentLedger {

    private static final int MAX_HISTORY_VERSIONS = 1_000;
    private static final String FILE_NAME = "document";
    private static final DocumentReader READER = new DocumentReader();

    private final Optional<Document> current;
    private final long throughOffset;
    private final Optional<Gap> gap;
    private final List<VersionEntry> history;

    /** Gap in the records that were read: the first offset after it and the records read since. */
    private record Gap(long firstOffset, List<PendingRecord> pending) {}

    /** Record that is pending until a republished state covers the gap. */
    private record PendingRecord(long offset, LedgerRecord record) {}

    private DocumentLedger(
            Optional<Document> current, long throughOffset, Optional<Gap> gap, List<VersionEntry> history) {
        this.current = current;
        this.throughOffset = throughOffset;
        this.gap = gap;
        this.history = history;
    }

    /**
     * Creates the ledger of a reader that starts at the first record of the log.
     *
     * @return a ledger with no document in force
     */
    public static DocumentLedger atLogStart() {
        return new DocumentLedger(Optional.empty(), -1, Optional.empty(), List.of());
    }

    /**
     * Creates the ledger of a reader that starts after the first records of the log are gone.
     *
     * @param firstOffset offset of the first record that can be read
     * @return a ledger that needs a republished state
     */
    public static DocumentLedger startingAt(long firstOffset) {
        return atLogStart().resumingAt(firstOffset);
    }

    /**
     * Returns the ledger to use if records before an offset can no longer be read. The version in force stays.
     *
     * @param firstOffset offset of the first record that can be read
     * @return this ledger if it reflects all records before the offset, else one that needs a republished state
     */
    public DocumentLedger resumingAt(long firstOffset) {
        if (firstOffset <= throughOffset + 1) {
            return this;
        }
        return new DocumentLedger(current, throughOffset, Optional.of(new Gap(firstOffset, List.of())), history);
    }

    /**
     * Returns the document in force.
     *
     * @return the document, or empty if none is in force or known
     */
    public Optional<Document> current() {
        return current;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, or 0 if none is in force or known
     */
    public int version() {
        return current.map(Document::version).orElse(0);
    }

    /**
     * Returns whether records are missing, so that a republished state is needed.
     *
     * @return true if the reader lacks records before the ones that it has read last
     */
    public boolean hasGap() {
        return gap.isPresent();
    }

    /**
     * Returns the versions that came into force through records that this reader applied.
     *
     * @return the last 1,000 of them, oldest first; versions before a republished state are not included
     */
    public List<VersionEntry> history() {
        return history;
    }

    /**
     * Returns a copy of the state for the log or for another node.
     *
     * @param readThrough offset of the last log record of any kind that this reader has applied or skipped
     * @return the copy, or empty while records are missing
     */
    public Optional<Republication> republication(long readThrough) {
        if (hasGap()) {
            return Optional.empty();
        }
        String text = current.map(Document::text).orElse("");
        long through = Math.max(throughOffset, readThrough);
        return Optional.of(new Republication(version(), text, Digests.sha256Hex(text), through));
    }

    /**
     * Applies a record of the log. Records must come in log order; those that the state already reflects are skipped.
     *
     * @param offset offset of the record
     * @param record the record
     * @return the next state and the outcome
     */
    public LedgerStep apply(long offset, LedgerRecord record) {
        if (offset <= throughOffset) {
            return new LedgerStep(this, new AlreadyApplied());
        }
        if (record instanceof Republication copy) {
            return applyRepublication(offset, copy);
        }
        if (gap.isPresent()) {
            List<PendingRecord> extended = new ArrayList<>(gap.get().pending());
            extended.add(new PendingRecord(offset, record));
            Gap next = new Gap(gap.get().firstOffset(), List.copyOf(extended));
            return new LedgerStep(
                    new DocumentLedger(current, throughOffset, Optional.of(next), history), new Pending());
        }
        LedgerStep step = applyChange(offset, record);
        return new LedgerStep(step.ledger().readThrough(offset), step.outcome());
    }

    /**
     * Adopts a newer state from another node, for example while the log cannot be reached.
     *
     * @param copy the other node's state
     * @return the next state and the outcome
     */
    public LedgerStep adopt(Republication copy) {
        if (!Digests.sha256Hex(copy.text()).equals(copy.digest())) {
            return inconsistent(Inconsistency.DIGEST_MISMATCH);
        }
        if (copy.version() == version()
                && version() > 0
                && !copy.text().equals(current.get().text())) {
            return inconsistent(Inconsistency.SAME_VERSION_OTHER_TEXT);
        }
        boolean newer = copy.version() > version();
        if (newer && copy.throughOffset() <= throughOffset) {
            return inconsistent(Inconsistency.VERSION_NOT_IN_LOG);
        }
        if (copy.version() < version() || copy.throughOffset() <= throughOffset) {
            return new LedgerStep(this, new NotNewer(version()));
        }
        return install(copy);
    }

    private LedgerStep applyRepublication(long offset, Republication copy) {
        if (copy.throughOffset() >= offset) {
            return inconsistent(Inconsistency.OFFSET_IN_FUTURE);
        }
        if (gap.isPresent()) {
            return adopt(copy);
        }
        DocumentLedger readBeforeCopy = readThrough(offset - 1);
        LedgerStep step = readBeforeCopy.adopt(copy);
        return new LedgerStep(step.ledger().readThrough(offset), step.outcome());
    }

    private LedgerStep install(Republication copy) {
        Optional<Document> next = current;
        if (copy.version() > version()) {
            DocumentResult result = READER.read(FILE_NAME, copy.text());
            if (!(result instanceof DocumentResult.Accepted accepted)) {
                return inconsistent(Inconsistency.INVALID_TEXT);
            }
            next = Optional.of(accepted.document().withVersion(copy.version()));
        }
        if (gap.isEmpty() || copy.throughOffset() + 1 < gap.get().firstOffset()) {
            DocumentLedger ledger = new DocumentLedger(next, copy.throughOffset(), gap, history);
            return new LedgerStep(ledger, new Adopted(copy.version(), List.of()));
        }
        DocumentLedger ledger = new DocumentLedger(next, copy.throughOffset(), Optional.empty(), history);
        return ledger.applyPending(copy.version(), gap.get().pending());
    }

    private LedgerStep applyPending(int adoptedVersion, List<PendingRecord> pending) {
        DocumentLedger ledger = this;
        List<ResolvedRecord> resolved = new ArrayList<>();
        for (PendingRecord each : pending) {
            LedgerStep step = ledger.apply(each.offset(), each.record());
            ledger = step.ledger();
            resolved.add(new ResolvedRecord(each.offset(), step.outcome()));
        }
        return new LedgerStep(ledger, new Adopted(adoptedVersion, resolved));
    }

    private LedgerStep applyChange(long offset, LedgerRecord record) {
        if (record instanceof Genesis genesis) {
            return applyGenesis(offset, genesis);
        }
        return record instanceof DeltaProposal delta
                ? applyDelta(offset, delta)
                : applyProposal(offset, (Proposal) record);
    }

    private LedgerStep applyDelta(long offset, DeltaProposal change) {
        Optional<String> text =
                current.map(base -> base.sectionTexts().get(change.section())).flatMap(change.delta()::applyTo);
        Proposal fullProposal = new Proposal(
                change.team(), change.section(), change.baseVersion(), text.orElse(""), change.signature());
        return applyProposal(offset, fullProposal);
    }

    private LedgerStep applyGenesis(long offset, Genesis genesis) {
        if (current.isPresent()) {
            return conflict();
        }
        return accept(offset, genesis.text(), "", Optional.empty(), "");
    }

    private LedgerStep applyProposal(long offset, Proposal proposal) {
        Optional<VersionEntry> repeated = history.stream()
                .filter(entry -> entry.version() == proposal.baseVersion() + 1)
                .filter(entry -> entry.signature().equals(proposal.signature()))
                .findFirst();
        if (repeated.isPresent()) {
            return new LedgerStep(this, new Accepted(repeated.get().version()));
        }
        if (current.isEmpty() || proposal.baseVersion() != version()) {
            return conflict();
        }
        Document base = current.get();
        Optional<Team> owner =
                base.ownerOf(proposal.section()).filter(team -> team.name().equals(proposal.team()));
        if (owner.isEmpty()) {
            return new LedgerStep(this, new LedgerOutcome.NotOwner(proposal.team(), proposal.section()));
        }
        if (!SectionSigner.verifies(proposal, base, owner.get().publicKey())) {
            return new LedgerStep(this, new LedgerOutcome.BadSignature(proposal.team(), proposal.section()));
        }
        if (proposal.sectionText().equals(base.sectionTexts().get(proposal.section()))) {
            return invalid(proposal.section(), ProblemCode.UNCHANGED, "the section in force has the same text");
        }
        String text = base.textWith(proposal.section(), proposal.sectionText());
        return accept(offset, text, proposal.team(), Optional.of(proposal.section()), proposal.signature());
    }

    private LedgerStep accept(long offset, String text, String team, Optional<Section> section, String signature) {
        DocumentResult result = READER.read(FILE_NAME, text);
        if (result instanceof DocumentResult.Rejected rejected) {
            return new LedgerStep(this, new Invalid(rejected.problems()));
        }
        Document document = ((DocumentResult.Accepted) result).document().withVersion(version() + 1);
        if (section.isPresent() && changesOtherSection(document, section.get())) {
            return invalid(section.get(), ProblemCode.SYNTAX, "the text reaches into another section");
        }
        VersionEntry entry = new VersionEntry(document.version(), offset, team, section, signature, document.digest());
        List<VersionEntry> extended = new ArrayList<>(history);
        extended.add(entry);
        List<VersionEntry> retained =
                extended.subList(Math.max(0, extended.size() - MAX_HISTORY_VERSIONS), extended.size());
        DocumentLedger ledger =
                new DocumentLedger(Optional.of(document), offset, Optional.empty(), List.copyOf(retained));
        return new LedgerStep(ledger, new Accepted(document.version()));
    }

    private boolean changesOtherSection(Document next, Section section) {
        Document base = current.orElse(next);
        return base.sectionTexts().entrySet().stream()
                .filter(entry -> entry.getKey() != section)
                .anyMatch(entry -> !entry.getValue().equals(next.sectionTexts().get(entry.getKey())));
    }

    private LedgerStep invalid(Section section, ProblemCode code, String detail) {
        DocumentProblem problem = new DocumentProblem(FILE_NAME, 1, section.key(), code, detail);
        return new LedgerStep(this, new Invalid(List.of(problem)));
    }

    private LedgerStep conflict() {
        return new LedgerStep(
                this, new Conflict(version(), current.map(Document::text).orElse("")));
    }

    private LedgerStep inconsistent(Inconsistency reason) {
        return new LedgerStep(this, new Inconsistent(reason));
    }

    private DocumentLedger readThrough(long offset) {
        return new DocumentLedger(current, Math.max(throughOffset, offset), gap, history);
    }
}
