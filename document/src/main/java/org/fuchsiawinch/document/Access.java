package org.fuchsiawinch.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.document.internal.Digests;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Identifies callers and operators by the SHA-256 digests of their bearer tokens. Immutable and thread-safe.
 *
 * @param workspaceByDigest workspaces by token digest in lower-case hexadecimal digits
 * @param operatorByDigest operators' names by token digest in lower-case hexadecimal digits
 */
public record Access(Map<String, WorkspaceId> workspaceByDigest, Map<String, String> operatorByDigest) {

    /** Copies the maps. */
    public Access {
        workspaceByDigest = Map.copyOf(workspaceByDigest);
        operatorByDigest = Map.copyOf(operatorByDigest);
    }

    /**
     * Returns the workspace that a bearer token belongs to.
     *
     * @param token the token as sent by the caller
     * @return the workspace, or empty if the token is unknown
     */
    public Optional<WorkspaceId> workspaceOf(String token) {
        return findByDigest(workspaceByDigest, token);
    }

    /**
     * Returns the operator that a bearer token belongs to.
     *
     * @param token the token as sent by the operator
     * @return the operator's name, or empty if the token is unknown
     */
    public Optional<String> operatorOf(String token) {
        return findByDigest(operatorByDigest, token);
    }

    private static <T> Optional<T> findByDigest(Map<String, T> byDigest, String token) {
        byte[] digest = Digests.sha256Hex(token).getBytes(StandardCharsets.US_ASCII);
        return byDigest.entrySet().stream()
                .filter(entry -> MessageDigest.isEqual(entry.getKey().getBytes(StandardCharsets.US_ASCII), digest))
                .map(Map.Entry::getValue)
                .findFirst();
    }
}
