package org.fuchsiawinch.workflow.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.cell.RulesDraft;
import org.fuchsiawinch.workflow.check.RulesFinding.Kind;

/** Compares a document with the version in force, and says when each difference takes effect. Stateless. */
public final class RulesDiff {

    private static final String FOR_NEW_REQUESTS = "for requests from then on";
    private static final String FOR_NEW_JOBS = "for jobs accepted from then on";
    private static final String AT_ONCE = "for waiting jobs too";

    private RulesDiff() {}

    /**
     * Compares two documents.
     *
     * @param inForce the version in force
     * @param next the version to be sent
     * @return the differences; an error if the next version would be ignored
     */
    public static List<RulesFinding> findings(RulesDraft inForce, RulesDraft next) {
        List<RulesFinding> found = new ArrayList<>();
        if (next.version() <= inForce.version()) {
            found.add(new RulesFinding(
                    Kind.ERROR, "version", next.version() + ": ignored, " + inForce.version() + " is in force"));
        }
        compareQueues(inForce, next, found);
        compareWorkspaces(inForce, next, found);
        change(found, "limits.maxBodyBytes", inForce.maxBodyBytes(), next.maxBodyBytes(), FOR_NEW_REQUESTS);
        return found;
    }

    private static void compareQueues(RulesDraft inForce, RulesDraft next, List<RulesFinding> found) {
        Map<String, Queue> before = byName(inForce.queues(), Queue::name);
        Map<String, Queue> after = byName(next.queues(), Queue::name);
        for (String name : names(before, after)) {
            String path = "routes." + name;
            Queue old = before.get(name);
            Queue queue = after.get(name);
            if (old == null || queue == null) {
                String what = old == null ? "added" : "removed; its jobs go on";
                found.add(new RulesFinding(Kind.CHANGE, path, what + ", " + FOR_NEW_REQUESTS));
                continue;
            }
            change(found, path + ".host", old.host(), queue.host(), FOR_NEW_REQUESTS);
            change(found, path + ".pathPrefix", old.pathPrefix(), queue.pathPrefix(), FOR_NEW_REQUESTS);
            change(found, path + ".public", old.open(), queue.open(), FOR_NEW_REQUESTS);
            change(found, path + ".service", old.service(), queue.service(), FOR_NEW_JOBS);
            change(
                    found,
                    path + ".priority",
                    old.rules().priority(),
                    queue.rules().priority(),
                    FOR_NEW_JOBS);
            change(
                    found,
                    path + ".maxAttempts",
                    old.rules().maxAttempts(),
                    queue.rules().maxAttempts(),
                    FOR_NEW_JOBS);
            change(
                    found,
                    path + ".slackFactor",
                    old.rules().slackFactor(),
                    queue.rules().slackFactor(),
                    FOR_NEW_JOBS);
            change(
                    found,
                    path + ".targetCompletionMs",
                    old.rules().targetMs(),
                    queue.rules().targetMs(),
                    FOR_NEW_JOBS);
        }
    }

    private static void compareWorkspaces(RulesDraft inForce, RulesDraft next, List<RulesFinding> found) {
        Map<String, RulesDraft.Workspace> before =
                byName(inForce.workspaces(), workspace -> workspace.id().value());
        Map<String, RulesDraft.Workspace> after =
                byName(next.workspaces(), workspace -> workspace.id().value());
        for (String name : names(before, after)) {
            String path = "tenants." + name;
            RulesDraft.Workspace old = before.get(name);
            RulesDraft.Workspace workspace = after.get(name);
            if (old == null || workspace == null) {
                String what = old == null ? "added" : "removed with its keys; its jobs go on";
                found.add(new RulesFinding(Kind.CHANGE, path, what + ", " + FOR_NEW_REQUESTS));
                continue;
            }
            change(
                    found,
                    path + ".guaranteed.gpu",
                    old.guaranteedAccelerators(),
                    workspace.guaranteedAccelerators(),
                    AT_ONCE);
            // Keys are secrets, so only their number is shown.
            long added = workspace.keys().stream()
                    .filter(key -> !old.keys().contains(key))
                    .count();
            long removed = old.keys().stream()
                    .filter(key -> !workspace.keys().contains(key))
                    .count();
            if (added + removed > 0) {
                found.add(new RulesFinding(
                        Kind.CHANGE,
                        path + ".apiKeys",
                        added + " added, " + removed + " removed, " + FOR_NEW_REQUESTS));
            }
        }
    }

    private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
        Map<String, T> found = new LinkedHashMap<>();
        entries.forEach(entry -> found.putIfAbsent(name.apply(entry), entry));
        return found;
    }

    private static Set<String> names(Map<String, ?> before, Map<String, ?> after) {
        Set<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names;
    }

    private static void change(List<RulesFinding> found, String path, Object old, Object value, String effect) {
        if (!Objects.equals(old, value)) {
            found.add(new RulesFinding(Kind.CHANGE, path, old + " -> " + value + ", " + effect));
        }
    }
}
