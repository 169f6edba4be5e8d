package org.fuchsiawinch.document.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.document.Access;
import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.WorkspaceId;

/** Fields and checks of the section {@code access}. Stateless. */
final class AccessSection {

    static final Field<String> TOKEN_SHA256 = Field.of(
                    "token-sha256",
                    FieldTypes.SHA256,
                    "Digests of the bearer tokens; two of them let a token be replaced without a pause.")
            .repeated();
    static final Group WORKSPACES = Group.map("workspaces", "workspace").withFields(TOKEN_SHA256);
    static final Group OPERATORS = Group.map("operators", "operator").withFields(TOKEN_SHA256);
    static final Group GROUP = Group.object(Section.ACCESS.key()).withGroups(WORKSPACES, OPERATORS);

    private AccessSection() {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @param workspaces workspaces that the capacity section defines
     * @return the token digests of workspaces and operators
     */
    static Access read(Cursor root, Set<WorkspaceId> workspaces) {
        Cursor cursor = root.object(GROUP);
        Map<String, WorkspaceId> workspaceByDigest = new HashMap<>();
        Map<String, String> operatorByDigest = new HashMap<>();
        Set<String> seen = new HashSet<>();
        cursor.entries(WORKSPACES).forEach((name, entry) -> {
            WorkspaceId workspace = new WorkspaceId(name);
            if (!workspaces.contains(workspace)) {
                entry.report(ProblemCode.UNKNOWN_REFERENCE, "the capacity section has no such workspace");
            }
            for (String digest : entry.readAll(TOKEN_SHA256)) {
                reportRepeated(entry, seen, digest);
                workspaceByDigest.put(digest, workspace);
            }
        });
        cursor.entries(OPERATORS).forEach((name, entry) -> {
            for (String digest : entry.readAll(TOKEN_SHA256)) {
                reportRepeated(entry, seen, digest);
                operatorByDigest.put(digest, name);
            }
        });
        return new Access(workspaceByDigest, operatorByDigest);
    }

    private static void reportRepeated(Cursor entry, Set<String> seen, String digest) {
        if (!seen.add(digest)) {
            entry.report(TOKEN_SHA256.name(), ProblemCode.CONTRADICTION, "the digest is used twice in the section");
        }
    }
}
