package org.fuchsiawinch.protocol.fold;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.document.ledger.VersionEntry;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Fold of the log's document records into the document in force. Implementations are deterministic and not thread-safe.
 */
public interface DocumentFold {

    /**
     * Applies a document record that directly follows the last one applied.
     *
     * @param record the record
     * @return the refusal, or empty if the record took effect or was valid and changed nothing
     */
    Optional<Refusal> apply(LogRecord record);

    /**
     * Applies a document record at its offset in the log.
     *
     * @param offset offset of the record in the log
     * @param record the record
     * @return the refusal, or empty if the record took effect or was valid and changed nothing
     */
    default Optional<Refusal> apply(long offset, LogRecord record) {
        return apply(record);
    }

    /**
     * Returns a copy of the document in force for a node that cannot read the log.
     *
     * @param throughOffset offset of the last log record that this node has read
     * @return the copy, or empty if no document is in force or this implementation makes no copies
     */
    default Optional<DocumentCopy> copy(long throughOffset) {
        return Optional.empty();
    }

    /**
     * Adopts a copy received from another node if it is newer than the document in force.
     *
     * @param copy the other node's copy
     * @return whether the copy is now in force; false if it is not newer or not valid
     */
    default boolean adopt(DocumentCopy copy) {
        return false;
    }

    /**
     * Returns the document in force.
     *
     * @return the document, or empty before the first one
     */
    Optional<VersionInForce> inForce();

    /**
     * Returns the versions that came into force through records applied here; versions adopted from copies are not
     * included.
     *
     * @return the versions, oldest first; empty if this implementation keeps no history
     */
    default List<VersionEntry> history() {
        return List.of();
    }

    /**
     * Version of the document that is in force.
     *
     * @param version version of the document
     * @param text whole text of the document
     * @param policy policy compiled from the text
     */
    record VersionInForce(int version, String text, Policy policy) {}

    /**
     * Copy of the document for another node.
     *
     * @param version version of the document
     * @param text whole text of the document
     * @param throughOffset offset of the last log record that the copy reflects
     */
    record DocumentCopy(int version, String text, long throughOffset) {}

    /**
     * Refusal of a document record.
     *
     * @param code kind of refusal
     * @param detail the version, team, section or problems at fault
     */
    record Refusal(Code code, String detail) {

        /** Kinds of refusal. */
        public enum Code {
            /** A document is already in force. */
            ALREADY_FOUNDED,
            /** No document is in force yet. */
            NOT_FOUNDED,
            /** The base version is not the version in force. */
            CONFLICT,
            /** The team does not own the section. */
            NOT_OWNER,
            /** The signature is not a valid signature of the team. */
            BAD_SIGNATURE,
            /** The resulting document is not valid. */
            INVALID,
            /**
             * The record was already reflected in a copy received from another node; the document's history shows
             * whether it was accepted.
             */
            UNDECIDED,
            /** The republished version is not the version in force, or its text differs. */
            NOT_IN_FORCE
        }
    }
}
