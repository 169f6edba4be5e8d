package org.fuchsiawinch.ctl.plan;

import org.fuchsiawinch.document.Document;

/**
 * Document under which the trace is replayed.
 *
 * @param name heading of its column in the plan table
 * @param document the document
 */
public record PlanVariant(String name, Document document) {

    /** Name of the variant with the document in force. */
    public static final String ACCEPTED = "accepted";

    /** Name of the variant with the proposed document. */
    public static final String PROPOSED = "proposed";
}
