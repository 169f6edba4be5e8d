package org.fuchsiawinch.document.ledger;

import java.util.List;

import org.fuchsiawinch.document.DocumentProblem;
import org.fuchsiawinch.document.Section;

/** Decision of the fold about one record. */
public sealed interface LedgerOutcome {

    /**
     * The record created a new version, or repeats a proposal that created one.
     *
     * @param version the version
     */
    record Accepted(int version) implements LedgerOutcome {}

    /**
     * The record is based on a version that is not in force, or founds the document although one is in force. The
     * version in force stays.
     *
     * @param currentVersion version in force; 0 if none is
     * @param currentText text in force; empty if none is
     */
    record Conflict(int currentVersion, String currentText) implements LedgerOutcome {}

    /**
     * The signature is not a valid signature of the team over this section, base and text.
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
     * The resulting document is not valid.
     *
     * @param problems all problems, with line numbers of the whole resulting text
     */
    record Invalid(List<DocumentProblem> problems) implements LedgerOutcome {

        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /**
     * A republished state was adopted.
     *
     * @param version version now in force; 0 if none is
     * @param resolved outcomes of the records that were pending until then, in log order
     */
    record Adopted(int version, List<ResolvedRecord> resolved) implements LedgerOutcome {

        /** Copies the list. */
        public Adopted {
            resolved = List.copyOf(resolved);
        }
    }

    /**
     * A republished state is not newer than the current state and does not contradict it.
     *
     * @param currentVersion version in force
     */
    record NotNewer(int currentVersion) implements LedgerOutcome {}

    /**
     * A republished state contradicts itself or the current state. The version in force stays.
     *
     * @param reason kind of contradiction
     */
    record Inconsistent(Inconsistency reason) implements LedgerOutcome {}

    /** The record is kept until a republished state covers the records missing before it. */
    record Pending() implements LedgerOutcome {}

    /** The state already reflects the record. */
    record AlreadyApplied() implements LedgerOutcome {}

    /**
     * Outcome of a record that was pending.
     *
     * @param offset offset of the record
     * @param outcome its outcome
     */
    record ResolvedRecord(long offset, LedgerOutcome outcome) {}

    /** Kinds of contradictions of a republished state. */
    enum Inconsistency {
        /** The digest does not match the text. */
        DIGEST_MISMATCH,
        /** The text is not a valid document. */
        INVALID_TEXT,
        /** The same version has a different text in the current state. */
        SAME_VERSION_OTHER_TEXT,
        /** It claims a newer version, although it reflects only records that this reader has read. */
        VERSION_NOT_IN_LOG,
        /** It claims to reflect its own record or later ones. */
        OFFSET_IN_FUTURE
    }
}
