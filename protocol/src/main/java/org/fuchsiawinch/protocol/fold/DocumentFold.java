package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.document.ledger.VersionEntry;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Folds the document's records. Deterministic; not thread-safe. */
public interface DocumentFold {

    /**
     * Takes a record that concerns the document.
     *
     * @param record the record
     * @return empty if it took effect or changed nothing rightly, else a typed refusal
     */
    Optional<Refusal> apply(LogRecord record);

    /**
     * Takes a record that concerns the document, at its offset.
     *
     * @param offset offset of the record in the log
     * @param record the record
     * @return empty if it took effect or changed nothing rightly, else a typed refusal
     */
    default Optional<Refusal> apply(long offset, LogRecord record) {
        return apply(record);
    }

    /**
     * Copies the document for a node that cannot read the log.
     *
     * @param throughOffset offset of the last record that this node has read
     * @return the copy, or empty if none is in force or the book gives no copies
     */
    default Optional<DocumentCopy> copy(long throughOffset) {
        return Optional.empty();
    }

    /**
     * Takes a newer document from another node.
     *
     * @param copy the other node's copy
     * @return whether it is in force now; false if it is not newer or not valid
     */
    default boolean adopt(DocumentCopy copy) {
        return false;
    }

    /**
     * Gives the document in force.
     *
     * @return the document, or empty before the first one
     */
    Optional<VersionInForce> inForce();

    /**
     * Lists the versions that this reader saw being made.
     *
     * @return the versions, oldest first; empty if the book keeps none
     */
    default List<VersionEntry> history() {
        return List.of();
    }

    /**
     * The document in force.
     *
     * @param version its version
     * @param text its whole text
     * @param policy its compiled form
     */
    record VersionInForce(int version, String text, Policy policy) {}

    /**
     * A copy of the document for another node.
     *
     * @param version its version
     * @param text its whole text
     * @param throughOffset offset of the last log record that it reflects
     */
    record DocumentCopy(int version, String text, long throughOffset) {}

    /**
     * Why a document record was refused.
     *
     * @param code kind of refusal
     * @param detail location and further detail
     */
    record Refusal(Code code, String detail) {

        /** Kinds of refusal. */
        public enum Code {
            /** A document is in force already. */
            ALREADY_FOUNDED,
            /** No document is in force yet. */
            NOT_FOUNDED,
            /** The base version is not the one in force. */
            CONFLICT,
            /** The team does not own the section. */
            NOT_OWNER,
            /** The signature is not the team's. */
            BAD_SIGNATURE,
            /** The resulting document is not valid. */
            INVALID,
            /** The copy of another node reflects the record; the history shows whether it was accepted. */
            UNDECIDED,
            /** The republished version is not the one in force, or its text differs. */
            NOT_IN_FORCE
        }
    }
}
