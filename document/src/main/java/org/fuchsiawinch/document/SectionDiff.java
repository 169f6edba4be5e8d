package org.fuchsiawinch.document;

import java.util.List;

/**
 * Differences of one section between two documents.
 *
 * @param section the section
 * @param owner team that owns the section in the first document
 * @param changes fields that differ; empty if only comments, order or layout differ
 */
public record SectionDiff(Section section, String owner, List<FieldChange> changes) {

    /** Copies the list. */
    public SectionDiff {
        changes = List.copyOf(changes);
    }
}
