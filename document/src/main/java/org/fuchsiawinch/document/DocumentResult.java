package org.fuchsiawinch.document;

import java.util.List;

/** Result of reading a document, which is accepted or rejected as a whole. */
public sealed interface DocumentResult {

    /**
     * The document is valid.
     *
     * @param document the document
     */
    record Accepted(Document document) implements DocumentResult {}

    /**
     * The document is not valid.
     *
     * @param problems all problems found, in the order of their lines; never empty
     */
    record Rejected(List<DocumentProblem> problems) implements DocumentResult {

        /** Copies the list. */
        public Rejected {
            problems = List.copyOf(problems);
        }
    }
}
