package org.fuchsiawinch.document.internal;

/** Definition of the whole document. Stateless. */
public final class RootGroup {

    /** The document's sections. */
    public static final Group GROUP = Group.object("")
            .withGroups(
                    TeamsSection.GROUP,
                    CapacitySection.GROUP,
                    ObjectiveSection.GROUP,
                    SpendingSection.GROUP,
                    ServiceLevelsSection.GROUP,
                    AccessSection.GROUP);

    private RootGroup() {}
}
