package org.fuchsiawinch.document.ledger;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.internal.Digests;

/** Record of a change to the document in the platform's log. */
public sealed interface LedgerRecord {

    /**
     * The first document. It becomes version 1 if no document is in force.
     *
     * @param text the whole text
     */
    record Genesis(String text) implements LedgerRecord {}

    /**
     * A change of one section.
     *
     * @param team name of the team that signed
     * @param section the section
     * @param baseVersion version that the change is based on
     * @param sectionText new text of the section, including the comments above it
     * @param signature Ed25519 signature in base64, see {@link SectionSigner}
     */
    record Proposal(String team, Section section, int baseVersion, String sectionText, String signature)
            implements LedgerRecord {

        /**
         * Returns the same change as a difference from its base, which takes less space in the log.
         *
         * @param base the document of the base version
         * @return the change with only the changed part of the text
         */
        public DeltaProposal toDelta(Document base) {
            SectionDelta delta = SectionDelta.between(base.sectionTexts().get(section), sectionText);
            return new DeltaProposal(team, section, baseVersion, delta, signature);
        }
    }

    /**
     * A change of one section as the difference from its base. The signature covers the whole text that results.
     *
     * @param team name of the team that signed
     * @param section the section
     * @param baseVersion version that the change is based on
     * @param delta the changed part
     * @param signature Ed25519 signature in base64, see {@link SectionSigner}
     */
    record DeltaProposal(String team, Section section, int baseVersion, SectionDelta delta, String signature)
            implements LedgerRecord {}

    /**
     * A copy of the fold's state, written to the log within its retention time and exchanged between nodes.
     *
     * @param version version in force; 0 if none is
     * @param text the whole text; empty if none is in force
     * @param digest SHA-256 of the text in 64 lower-case hexadecimal digits
     * @param throughOffset offset of the last log record that the state reflects; -1 for none
     */
    record Republication(int version, String text, String digest, long throughOffset) implements LedgerRecord {

        /**
         * Creates a copy of the state and computes the digest of its text.
         *
         * @param version version in force
         * @param text the whole text
         * @param throughOffset offset of the last log record that the state reflects
         * @return the copy
         */
        public static Republication of(int version, String text, long throughOffset) {
            return new Republication(version, text, Digests.sha256Hex(text), throughOffset);
        }
    }
}
