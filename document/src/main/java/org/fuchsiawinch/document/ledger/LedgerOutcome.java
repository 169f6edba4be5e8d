package org.fuchsiawinch.document.ledger;

import java.util.List;

import org.fuchsiawinch.document.DocumentProblem;
import org.fuchsiawinch.document.Section;

/** What the fold decided about one record. */
public sealed interface LedgerOutcome {

    /**
     * The record made a new version, or is a repetition of the record that made it.
     *
     * @param version the version
     */
    record Accepted(int version) implements LedgerOutcome {}

    /**
     * The record was made from a version that is not in force any more. The version in force stays.
     *
     * @param currentVersion version in force; 0 if none is
     * @param currentText text in force; empty if none is
     */
    record Conflict(int currentVersion, String currentText) implements LedgerOutcome {}

    /**
     * The signature is not that of the team over this section, base and text.
     *
     * @param team name of the team
     * @param section the section
     */
    record BadSignature(String team, Section section) implements LedgerOutcome {}

    /**
     * The team is unknown or does not own the section.
     *
     * @param team name of the team
     * @param section the section
     */
    record NotOwner(String team, Section section) implements LedgerOutcome {}

    /**
     * The document that would result is not valid.
     *
     * @param problems all problems, with lines of the whole resulting text
     */
    record Invalid(List<DocumentProblem> problems) implements LedgerOutcome {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * A republished state was taken over.
     *
     * @param version version now in force; 0 if none is
     * @param resolved outcomes of the records that had waited for it, in log order
     */
    record Adopted(int version, List<ResolvedRecord> resolved) implements LedgerOutcome {

        /** Copies the list. */
        public Adopted {
            resolved = List.copyOf(resolved);
        }
    }

    /**
     * A republished state is not newer than the own one and agrees with it.
     *
     * @param currentVersion version in force
     */
    record NotNewer(int currentVersion) implements LedgerOutcome {}

    /**
     * A republished state contradicts itself or the own one. The version in force stays.
     *
     * @param reason what is wrong
     */
    record Inconsistent(Inconsistency reason) implements LedgerOutcome {}

    /** The record cannot be judged before a republished state covers the records missing before it. */
    record Pending() implements LedgerOutcome {}

    /** The state reflects the record already. */
    record AlreadyApplied() implements LedgerOutcome {}

    /**
     * Outcome of a record that had waited.
     *
     * @param offset offset of the record
     * @param outcome its outcome
     */
    record ResolvedRecord(long offset, LedgerOutcome outcome) {}

    /** Contradictions of a republished state. */
    enum Inconsistency {
        /** The digest is not that of the text. */
        DIGEST_MISMATCH,
        /** The text is not a valid document. */
        INVALID_TEXT,
        /** The same version has another text here. */
        SAME_VERSION_OTHER_TEXT,
        /** It claims a newer version from records that this reader has read. */
        VERSION_NOT_IN_LOG,
        /** It claims to reflect records that come after it. */
        OFFSET_IN_FUTURE
    }
}
