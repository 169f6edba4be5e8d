package org.fuchsiawinch.workflow.check;

/**
 * Finding of a check.
 *
 * @param kind what kind of finding it is
 * @param path path of the entry in the document
 * @param detail what is wrong, or what changes
 */
public record RulesFinding(Kind kind, String path, String detail) {

    /** Kind of a finding. */
    public enum Kind {
        /** The document, or an entry, has no effect or a wrong one. */
        ERROR,
        /** An entry that can never match. */
        UNREACHABLE,
        /** Limits that contradict each other or the workers. */
        CONTRADICTION,
        /** A difference from the version in force. */
        CHANGE
    }
}
