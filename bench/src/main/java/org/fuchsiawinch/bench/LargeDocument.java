package org.fuchsiawinch.bench;

import java.security.KeyPair;
import java.util.Base64;

/** Generates documents with a given number of workspaces. Stateless. */
final class LargeDocument {

    static final String TEAM = "engineering";

    private static final int DIGEST_DIGITS = 64;
    private static final String WORKSPACE_CAPACITY = """
                w%d:
                  accelerator-quota: 192
                  queue-bound: 500
                  guarantees:
                    - count: 2
                      parts: 8
                      adjacency: rack
                      per-part: {cpu: 3, memory: 12GiB, accelerators: 1, slots: 1, connections: 4}
                    - count: 1
                      parts: 16
                      adjacency: data-centre
                      per-part: {cpu: 6, memory: 24GiB, accelerators: 2, slots: 1, connections: 4}
            """;

    private LargeDocument() {}

    /**
     * Returns the text of a document whose sections are all owned by one team.
     *
     * @param workspaces number of workspaces, each with two guarantees, a limit, two service levels and a token
     * @param keys key pair of the team
     * @return the text in YAML
     */
    static String text(int workspaces, KeyPair keys) {
        String key = Base64.getEncoder().encodeToString(keys.getPublic().getEncoded());
        StringBuilder text = new StringBuilder();
        text.append("teams:\n  ")
                .append(TEAM)
                .append(":\n    public-key: ")
                .append(key)
                .append('\n');
        text.append("    sections: [teams, capacity, objective, spending, service-levels, access]\n");
        text.append("capacity:\n  lending:\n    checkpoint: 20s\n  workspaces:\n");
        appendRepeated(text, workspaces, WORKSPACE_CAPACITY);
        text.append("objective:\n  completion-weight: 0.85\n  fragmentation-weight: 0.15\n");
        text.append("spending:\n  currency: FJD\n  prices:\n    accelerator-hour: 2.40\n"
                + "    lent-accelerator-hour: 1.20\n  limits:\n");
        appendRepeated(text, workspaces, "    w%d: {amount: 9000.00, period: 24h}\n");
        text.append("service-levels:\n");
        appendRepeated(
                text,
                workspaces,
                "  w%d:\n    guaranteed-start: {share: 0.99, threshold: 60s, window: 30d}\n"
                        + "    whole-answers: {share: 0.9999, window: 30d}\n");
        text.append("access:\n  operators: {}\n  workspaces:\n");
        for (int i = 0; i < workspaces; i++) {
            String number = Integer.toString(i);
            String digest = "0".repeat(DIGEST_DIGITS - number.length()) + number;
            text.append("    w")
                    .append(i)
                    .append(":\n      token-sha256: [")
                    .append(digest)
                    .append("]\n");
        }
        return text.toString();
    }

    private static void appendRepeated(StringBuilder text, int times, String format) {
        for (int i = 0; i < times; i++) {
            text.append(String.format(format, i));
        }
    }
}
