package org.fuchsiawinch.workflow.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.cell.RulesDraft;
import org.fuchsiawinch.workflow.check.RulesFinding.Kind;
import org.fuchsiawinch.workflow.job.Submission;

/** Finds entries of a document that are wrong, can never match or contradict each other. Immutable. */
public final class RulesCheck {

    private final OptionalInt workerAccelerators;

    /**
     * Creates a check.
     *
     * @param workerAccelerators accelerators of all workers; empty if they are not known
     */
    public RulesCheck(OptionalInt workerAccelerators) {
        this.workerAccelerators = workerAccelerators;
    }

    /**
     * Checks a document.
     *
     * @param draft the document
     * @return the findings, in the order of its entries
     */
    public List<RulesFinding> findings(RulesDraft draft) {
        List<RulesFinding> found = new ArrayList<>();
        checkQueues(draft, found);
        checkWorkspaces(draft, found);
        if (draft.maxBodyBytes() < 1) {
            found.add(new RulesFinding(
                    Kind.CONTRADICTION, "limits.maxBodyBytes", draft.maxBodyBytes() + ": no job fits into a request"));
        }
        return found;
    }

    private static void checkQueues(RulesDraft draft, List<RulesFinding> found) {
        Map<String, Integer> byAddress = new HashMap<>();
        Set<String> names = new HashSet<>();
        boolean anyKey = draft.workspaces().stream()
                .anyMatch(workspace -> !workspace.keys().isEmpty());
        for (int i = 0; i < draft.queues().size(); i++) {
            Queue queue = draft.queues().get(i);
            String path = "routes[" + i + "]";
            if (!names.add(queue.name())) {
                found.add(new RulesFinding(Kind.ERROR, path + ".name", "used before: " + queue.name()));
            }
            // Of queues with one address the first one gets all requests.
            Integer earlier = byAddress.putIfAbsent(queue.host() + " " + queue.pathPrefix(), i);
            if (earlier != null) {
                found.add(new RulesFinding(
                        Kind.UNREACHABLE,
                        path,
                        "hidden by routes[" + earlier + "], which has the same host and path prefix"));
            }
            if (queue.host().isEmpty() || queue.host().contains(":")) {
                found.add(new RulesFinding(
                        Kind.UNREACHABLE, path + ".host", "no request has this host name: \"" + queue.host() + "\""));
            }
            if (!queue.pathPrefix().startsWith("/")) {
                found.add(new RulesFinding(
                        Kind.UNREACHABLE, path + ".pathPrefix", "no path begins so: \"" + queue.pathPrefix() + "\""));
            }
            if (!draft.services().contains(queue.service())) {
                found.add(new RulesFinding(Kind.UNREACHABLE, path + ".service", "no such service: " + queue.service()));
            }
            if (!queue.open() && !anyKey) {
                found.add(new RulesFinding(Kind.UNREACHABLE, path, "needs a key, and no workspace has one"));
            }
            checkRules(queue.rules(), path, found);
        }
    }

    private static void checkRules(Submission.QueueRules rules, String path, List<RulesFinding> found) {
        if (rules.maxAttempts() < 1) {
            found.add(new RulesFinding(
                    Kind.CONTRADICTION,
                    path + ".maxAttempts",
                    rules.maxAttempts() + ": its first failure fails a job"));
        }
        if (!Double.isFinite(rules.slackFactor()) || rules.slackFactor() < 0) {
            found.add(new RulesFinding(
                    Kind.ERROR, path + ".slackFactor", rules.slackFactor() + ": its jobs are refused"));
        }
        if (rules.priority() < 0) {
            found.add(new RulesFinding(Kind.ERROR, path + ".priority", rules.priority() + ": its jobs are refused"));
        }
        if (rules.targetMs() < 0) {
            found.add(new RulesFinding(
                    Kind.ERROR, path + ".targetCompletionMs", rules.targetMs() + ": its jobs are refused"));
        }
        if (rules.slackFactor() < 1 && rules.targetMs() == 0) {
            found.add(new RulesFinding(
                    Kind.CONTRADICTION, path, "objective shorter than the work: slack factor " + rules.slackFactor()));
        }
    }

    private void checkWorkspaces(RulesDraft draft, List<RulesFinding> found) {
        Map<String, Integer> byKey = new HashMap<>();
        Set<WorkspaceId> ids = new HashSet<>();
        long guaranteed = 0;
        for (int i = 0; i < draft.workspaces().size(); i++) {
            RulesDraft.Workspace workspace = draft.workspaces().get(i);
            String path = "tenants[" + i + "]";
            if (!ids.add(workspace.id())) {
                found.add(new RulesFinding(
                        Kind.ERROR,
                        path + ".name",
                        "used before: " + workspace.id().value()));
            }
            for (int key = 0; key < workspace.keys().size(); key++) {
                Integer earlier = byKey.putIfAbsent(workspace.keys().get(key), i);
                if (earlier != null) {
                    found.add(new RulesFinding(
                            Kind.ERROR, path + ".apiKeys[" + key + "]", "is a key of tenants[" + earlier + "] too"));
                }
            }
            if (workspace.keys().isEmpty() && workspace.guaranteedAccelerators() > 0) {
                found.add(new RulesFinding(
                        Kind.CONTRADICTION,
                        path,
                        "guaranteed " + workspace.guaranteedAccelerators() + " accelerators, but without a key"));
            }
            guaranteed += workspace.guaranteedAccelerators();
        }
        if (workerAccelerators.isPresent() && guaranteed > workerAccelerators.getAsInt()) {
            found.add(new RulesFinding(
                    Kind.CONTRADICTION,
                    "tenants",
                    guaranteed + " accelerators guaranteed, the workers have " + workerAccelerators.getAsInt()));
        }
    }
}
