package org.fuchsiawinch.document.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ServiceLevel;
import org.fuchsiawinch.document.ServiceLevelKind;
import org.fuchsiawinch.model.WorkspaceId;

/** Fields and checks of the section {@code service-levels}. Stateless. */
final class ServiceLevelsSection {

    static final Field<Double> SHARE = Field.of("share", FieldTypes.DECIMAL, "Share of good events to reach.")
            .between("0.5", "0.999999");
    static final Field<Long> THRESHOLD = Field.of("threshold", FieldTypes.DURATION, "Longest time of a good event.")
            .between("1ms", "30d");
    static final Field<Long> WINDOW = Field.of("window", FieldTypes.DURATION, "Window over which the share is taken.")
            .defaultTo("30d")
            .between("1h", "366d");
    static final Group GUARANTEED_START =
            Group.object(ServiceLevelKind.GUARANTEED_START.key()).optional().withFields(SHARE, THRESHOLD, WINDOW);
    static final Group COMPLETION =
            Group.object(ServiceLevelKind.COMPLETION.key()).optional().withFields(SHARE, THRESHOLD, WINDOW);
    static final Group WHOLE_ANSWERS =
            Group.object(ServiceLevelKind.WHOLE_ANSWERS.key()).optional().withFields(SHARE, WINDOW);
    static final Group GROUP = Group.map(Section.SERVICE_LEVELS.key(), "workspace")
            .withGroups(GUARANTEED_START, COMPLETION, WHOLE_ANSWERS);

    private ServiceLevelsSection() {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @param workspaces workspaces that the capacity section defines
     * @return the service levels in the order of the file
     */
    static List<ServiceLevel> read(Cursor root, Set<WorkspaceId> workspaces) {
        List<ServiceLevel> levels = new ArrayList<>();
        root.entries(GROUP).forEach((name, entry) -> {
            WorkspaceId workspace = new WorkspaceId(name);
            if (!workspaces.contains(workspace)) {
                entry.report(ProblemCode.UNKNOWN_REFERENCE, "the capacity section has no such workspace");
            }
            entry.optionalObject(GUARANTEED_START)
                    .map(cursor -> timed(workspace, ServiceLevelKind.GUARANTEED_START, cursor))
                    .ifPresent(levels::add);
            entry.optionalObject(COMPLETION)
                    .map(cursor -> timed(workspace, ServiceLevelKind.COMPLETION, cursor))
                    .ifPresent(levels::add);
            entry.optionalObject(WHOLE_ANSWERS)
                    .map(cursor -> untimed(workspace, cursor))
                    .ifPresent(levels::add);
        });
        return levels;
    }

    private static ServiceLevel timed(WorkspaceId workspace, ServiceLevelKind kind, Cursor cursor) {
        OptionalLong thresholdMs = OptionalLong.of(cursor.read(THRESHOLD));
        return new ServiceLevel(workspace, kind, cursor.read(SHARE), thresholdMs, cursor.read(WINDOW));
    }

    private static ServiceLevel untimed(WorkspaceId workspace, Cursor cursor) {
        return new ServiceLevel(
                workspace,
                ServiceLevelKind.WHOLE_ANSWERS,
                cursor.read(SHARE),
                OptionalLong.empty(),
                cursor.read(WINDOW));
    }
}
