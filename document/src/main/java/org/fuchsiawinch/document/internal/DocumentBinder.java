package org.fuchsiawinch.document.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.document.Access;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ServiceLevel;
import org.fuchsiawinch.document.Team;
import org.fuchsiawinch.document.internal.CapacitySection.Capacity;
import org.fuchsiawinch.document.internal.SpendingSection.Limit;
import org.fuchsiawinch.document.internal.SpendingSection.Spending;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;

/** Converts a YAML tree to a document. Stateless. */
public final class DocumentBinder {

    private DocumentBinder() {}

    /**
     * Converts a tree.
     *
     * @param text the whole text
     * @param sectionTexts text of each section
     * @param tree the parsed text
     * @param problems receives the problems found
     * @return the document of version 0, or empty if there are problems
     */
    public static Optional<Document> bind(
            String text, Map<Section, String> sectionTexts, Mapping tree, ProblemCollector problems) {
        Cursor root = Cursor.atRoot(DocumentSchema.ROOT, tree, problems);
        Map<String, Team> teams = TeamsSection.read(root);
        Capacity capacity = CapacitySection.read(root);
        Set<WorkspaceId> workspaces = capacity.workspaces().keySet();
        Objective objective = ObjectiveSection.read(root);
        Spending spending = SpendingSection.read(root, workspaces);
        List<ServiceLevel> levels = ServiceLevelsSection.read(root, workspaces);
        Access access = AccessSection.read(root, workspaces);
        if (!problems.isEmpty()) {
            return Optional.empty();
        }
        Policy policy = new Policy(
                0,
                objective,
                workspacePolicies(capacity, spending),
                capacity.lending(),
                capacity.estimates(),
                capacity.faults(),
                capacity.admission(),
                spending.prices());
        return Optional.of(new Document(0, text, sectionTexts, teams, spending.currency(), policy, levels, access));
    }

    private static Map<WorkspaceId, WorkspacePolicy> workspacePolicies(Capacity capacity, Spending spending) {
        Map<WorkspaceId, WorkspacePolicy> policies = new HashMap<>();
        capacity.workspaces().forEach((workspace, own) -> {
            Optional<Limit> limit = spending.limitOf(workspace);
            OptionalLong amountMicros =
                    limit.map(found -> OptionalLong.of(found.amountMicros())).orElse(OptionalLong.empty());
            long periodMs = limit.map(Limit::periodMs).orElse(SpendingSection.UNLIMITED_PERIOD_MS);
            policies.put(
                    workspace,
                    new WorkspacePolicy(
                            own.guarantees(), own.acceleratorQuota(), own.queueBound(), amountMicros, periodMs));
        });
        return policies;
    }
}
