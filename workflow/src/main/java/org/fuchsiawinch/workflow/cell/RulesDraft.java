package org.fuchsiawinch.workflow.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.owner.Guarantees;

/**
 * The operators' document as it is written, with its entries in their order.
 *
 * @param version version of the document
 * @param queues the queues
 * @param services names of the services
 * @param workspaces the workspaces
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record RulesDraft(
        long version, List<Queue> queues, Set<String> services, List<Workspace> workspaces, int maxBodyBytes) {

    /**
     * A workspace.
     *
     * @param id its id
     * @param keys keys of its callers
     * @param guaranteedAccelerators accelerators that it is guaranteed
     */
    public record Workspace(WorkspaceId id, List<String> keys, int guaranteedAccelerators) {

        /** Copies the list. */
        public Workspace {
            keys = List.copyOf(keys);
        }
    }

    /** Copies the collections. */
    public RulesDraft {
        queues = List.copyOf(queues);
        services = Set.copyOf(services);
        workspaces = List.copyOf(workspaces);
    }

    /**
     * Returns the rules that a node applies. Of entries that contradict each other the later one holds.
     *
     * @return the rules
     */
    public CellRules toRules() {
        Map<String, WorkspaceId> keys = new HashMap<>();
        Map<WorkspaceId, Integer> guarantees = new HashMap<>();
        for (Workspace workspace : workspaces) {
            workspace.keys().forEach(key -> keys.put(key, workspace.id()));
            guarantees.put(workspace.id(), workspace.guaranteedAccelerators());
        }
        return new CellRules(version, queues, keys, new Guarantees(guarantees), maxBodyBytes);
    }
}
