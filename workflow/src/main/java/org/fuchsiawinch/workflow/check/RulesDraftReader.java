package org.fuchsiawinch.workflow.check;

import org.fuchsiawinch.workflow.cell.RulesDraft;

/** Reads the operators' document in the form of a platform; found as a service of the adapter to that platform. */
public interface RulesDraftReader {

    /**
     * Reads a document as a node does.
     *
     * @param document the document
     * @return its content
     * @throws UnreadableRulesException if a node would not apply the document; the message names the field
     */
    RulesDraft read(byte[] document);
}
