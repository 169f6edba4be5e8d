package org.fuchsiawinch.ctl.plan;

import org.fuchsiawinch.document.Document;

/**
 * A document to replay.
 *
 * @param name heading of its column
 * @param document the document
 */
public record PlanVariant(String name, Document document) {

    /** Name of the document in force. */
    public static final String ACCEPTED = "accepted";

    /** Name of the proposed document. */
    public static final String PROPOSED = "proposed";
}
