package org.fuchsiawinch.workflow.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.owner.Guarantees;

/**
 * Rules of one version of the operators' document: queues, keys, guarantees and limits. Immutable and thread-safe.
 */
public final class CellRules {

    private final long version;
    private final Map<String, List<Queue>> queuesByHost = new HashMap<>();
    private final Map<String, WorkspaceId> workspaceByKey;
    private final Guarantees guarantees;
    private final int maxBodyBytes;

    /**
     * Creates the rules.
     *
     * @param version version of the document; higher ones replace lower ones
     * @param queues the queues
     * @param workspaceByKey workspace of each caller's key
     * @param guarantees guaranteed accelerators of each workspace
     * @param maxBodyBytes maximum size of a request body in bytes
     */
    public CellRules(
            long version,
            List<Queue> queues,
            Map<String, WorkspaceId> workspaceByKey,
            Guarantees guarantees,
            int maxBodyBytes) {
        this.version = version;
        this.workspaceByKey = Map.copyOf(workspaceByKey);
        this.guarantees = guarantees;
        this.maxBodyBytes = maxBodyBytes;
        queues.stream()
                .sorted(Comparator.comparingInt(
                        (Queue queue) -> -queue.pathPrefix().length()))
                .forEach(queue -> queuesByHost
                        .computeIfAbsent(queue.host(), host -> new ArrayList<>())
                        .add(queue));
    }

    /**
     * Returns the version of the document.
     *
     * @return the version; higher ones replace lower ones
     */
    public long version() {
        return version;
    }

    /**
     * Returns the guarantees.
     *
     * @return guaranteed accelerators of each workspace
     */
    public Guarantees guarantees() {
        return guarantees;
    }

    /**
     * Returns the maximum size of a request body.
     *
     * @return size in bytes
     */
    public int maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Finds the queue of a request by host name and longest matching path prefix.
     *
     * @param host host name, without a port
     * @param path path of the request
     * @return the queue, or empty if none matches
     */
    public Optional<Queue> queue(String host, String path) {
        return queuesByHost.getOrDefault(host, List.of()).stream()
                .filter(queue -> path.startsWith(queue.pathPrefix()))
                .findFirst();
    }

    /**
     * Finds the workspace of a key.
     *
     * @param key the key
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<WorkspaceId> workspace(String key) {
        return Optional.ofNullable(workspaceByKey.get(key));
    }

    /**
     * Returns the number of queues.
     *
     * @return the number
     */
    public int queueCount() {
        return queuesByHost.values().stream().mapToInt(List::size).sum();
    }
}
