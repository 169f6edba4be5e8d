package org.fuchsiawinch.explore;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.explore.Violation.Promise;
import org.fuchsiawinch.model.NodeId;

/** Checks the documents in force on the nodes against the promises on the document. */
final class DocumentChecks {

    private final History history;
    private final List<Violation> violations;

    private DocumentChecks(History history, List<Violation> violations) {
        this.history = history;
        this.violations = violations;
    }

    static void check(History history, List<Violation> violations) {
        DocumentChecks checks = new DocumentChecks(history, violations);
        checks.checkVersions();
        checks.checkSingleWinner();
        checks.checkInForce();
    }

    private void checkVersions() {
        Map<NodeId, Integer> versions = new HashMap<>();
        Map<Integer, String> texts = new HashMap<>();
        for (Observation.DocumentInForce seen : history.of(Observation.DocumentInForce.class)) {
            Integer previous = versions.put(seen.node(), seen.version());
            if (previous != null && previous >= seen.version()) {
                add(
                        Promise.DOCUMENT_MONOTONE,
                        seen.atMs(),
                        seen.node() + " went from " + previous + " to " + seen.version());
            }
            String text = texts.putIfAbsent(seen.version(), seen.text());
            if (text != null && !text.equals(seen.text())) {
                add(Promise.DOCUMENT_MONOTONE, seen.atMs(), "version " + seen.version() + " has two texts");
            }
        }
    }

    private void checkSingleWinner() {
        Map<Integer, Integer> winners = new HashMap<>();
        for (Observation.DocumentAccepted accepted : history.of(Observation.DocumentAccepted.class)) {
            if (winners.merge(accepted.baseVersion(), 1, Integer::sum) > 1) {
                add(
                        Promise.DOCUMENT_ONE_WINNER,
                        accepted.atMs(),
                        "two changes were accepted on version " + accepted.baseVersion());
            }
        }
    }

    private void checkInForce() {
        for (Observation.DocumentAccepted accepted : history.of(Observation.DocumentAccepted.class)) {
            long dueMs = accepted.atMs() + PromiseBounds.DOCUMENT_MS;
            if (dueMs > history.endMs() || logImpaired(accepted.atMs(), dueMs)) {
                continue;
            }
            for (Observation.NodeUp up : history.of(Observation.NodeUp.class)) {
                boolean expected = up.atMs() < accepted.atMs() && !impaired(up.node(), accepted.atMs(), dueMs);
                if (expected && versionAt(up.node(), dueMs) < accepted.version()) {
                    add(
                            Promise.DOCUMENT_IN_FORCE,
                            dueMs,
                            up.node() + " has not version " + accepted.version() + " since " + accepted.atMs());
                }
            }
        }
    }

    private int versionAt(NodeId node, long atMs) {
        return history.of(Observation.DocumentInForce.class).stream()
                .filter(seen -> seen.node().equals(node) && seen.atMs() <= atMs)
                .mapToInt(Observation.DocumentInForce::version)
                .max()
                .orElse(0);
    }

    private boolean impaired(NodeId node, long fromMs, long toMs) {
        return history.of(Observation.NodeImpaired.class).stream()
                .anyMatch(seen -> seen.node().equals(node) && seen.atMs() <= toMs && seen.untilMs() >= fromMs);
    }

    private boolean logImpaired(long fromMs, long toMs) {
        return history.of(Observation.LogImpaired.class).stream()
                .anyMatch(seen -> seen.atMs() <= toMs && seen.untilMs() >= fromMs);
    }

    private void add(Promise promise, long atMs, String detail) {
        violations.add(new Violation(promise, atMs, detail));
    }
}
