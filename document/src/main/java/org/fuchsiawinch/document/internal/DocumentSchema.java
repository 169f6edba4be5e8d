package org.fuchsiawinch.document.internal;

/** Definition of the whole document. Stateless. */
public final class DocumentSchema {

    /** Root of the document with its sections. */
    public static final Group ROOT = Group.object("")
            .withGroups(
                    TeamsSection.GROUP,
                    CapacitySection.GROUP,
                    ObjectiveSection.GROUP,
                    SpendingSection.GROUP,
                    ServiceLevelsSection.GROUP,
                    AccessSection.GROUP);

    private DocumentSchema() {}
}
