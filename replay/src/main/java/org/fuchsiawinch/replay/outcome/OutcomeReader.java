package org.fuchsiawinch.replay.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.fuchsiawinch.replay.outcome.OutcomeReadResult.OutcomeFault;
import org.fuchsiawinch.replay.outcome.OutcomeReadResult.OutcomeProblem;

/** Reads outcome files. Stateless; thread-safe. */
public final class OutcomeReader {

    private final ObjectMapper mapper = new ObjectMapper(new YAMLFactory());

    /**
     * Reads an outcome file.
     *
     * @param text text of the file
     * @return the outcome, or all problems
     */
    public OutcomeReadResult read(String text) {
        List<OutcomeProblem> problems = new ArrayList<>();
        JsonNode root;
        try {
            root = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            return new OutcomeReadResult.Rejected(List.of(new OutcomeProblem(line, "", OutcomeFault.NOT_YAML)));
        }
        if (root == null || !root.isObject()) {
            return new OutcomeReadResult.Rejected(List.of(new OutcomeProblem(1, "", OutcomeFault.NOT_YAML)));
        }
        FieldReader fields = new FieldReader(text, problems);
        String trace = fields.text(root, "trace");
        String document = fields.text(root, "document");
        long seed = Math.round(fields.number(root, "seed"));
        List<Target> targets = targets(root, fields);
        return problems.isEmpty()
                ? new OutcomeReadResult.Accepted(new Outcome(trace, document, seed, targets))
                : new OutcomeReadResult.Rejected(problems);
    }

    private static List<Target> targets(JsonNode root, FieldReader fields) {
        JsonNode list = root.path("targets");
        if (!list.isArray() || list.isEmpty()) {
            fields.report("targets", OutcomeFault.FIELD_MISSING);
        }
        List<Target> targets = new ArrayList<>();
        for (JsonNode node : list) {
            Optional<Measure> measure = Measure.byLabel(fields.text(node, "measure"));
            String reference = node.path("relative-to").asText("none");
            double atMost = fields.number(node, "at-most");
            boolean known = reference.equals("none") || reference.equals("best-baseline");
            if (measure.isEmpty() || !known) {
                fields.report(measure.isEmpty() ? "measure" : "relative-to", OutcomeFault.FIELD_INVALID);
                continue;
            }
            Reference to = reference.equals("none") ? Reference.NONE : Reference.BEST_BASELINE;
            targets.add(new Target(measure.get(), to, atMost));
        }
        return targets;
    }

    /** Reads fields and reports problems at the first line that contains the name of the field. */
    private record FieldReader(String text, List<OutcomeProblem> problems) {

        private String text(JsonNode node, String field) {
            JsonNode value = node.get(field);
            if (value == null || !value.isTextual()) {
                report(field, value == null ? OutcomeFault.FIELD_MISSING : OutcomeFault.FIELD_INVALID);
                return "";
            }
            return value.asText();
        }

        private double number(JsonNode node, String field) {
            JsonNode value = node.get(field);
            if (value == null || !value.isNumber()) {
                report(field, value == null ? OutcomeFault.FIELD_MISSING : OutcomeFault.FIELD_INVALID);
                return 0;
            }
            return value.asDouble();
        }

        private void report(String field, OutcomeFault fault) {
            String[] all = text.split("\n", -1);
            int found = 0;
            for (int line = 0; line < all.length && found == 0; line++) {
                found = all[line].contains(field + ":") ? line + 1 : 0;
            }
            problems.add(new OutcomeProblem(found, field, fault));
        }
    }
}
