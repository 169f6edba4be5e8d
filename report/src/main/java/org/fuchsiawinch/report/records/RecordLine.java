package org.fuchsiawinch.report.records;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawinch.model.IllegalIdException;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.records.RecordProblem.Code;

/**
 * Reads typed fields from one line of a file of records. A missing or invalid field adds a problem to the list of the
 * file; its value is then not used, since a file with problems is rejected. Not thread-safe.
 */
final class RecordLine {

    /** Last millisecond of the year 9999, in ms since the Unix epoch. */
    private static final long MAX_TIME_MS = 253_402_300_799_999L;

    private final JsonNode object;
    private final String file;
    private final long line;
    private final List<RecordProblem> problems;
    private final Set<String> fieldsRead = new TreeSet<>();

    RecordLine(JsonNode object, String file, long line, List<RecordProblem> problems) {
        this.object = object;
        this.file = file;
        this.line = line;
        this.problems = problems;
    }

    void addProblem(String field, Code code, String detail) {
        problems.add(new RecordProblem(file, line, field, code, detail));
    }

    String text(String field) {
        JsonNode node = read(field);
        if (node.isMissingNode()) {
            return "";
        }
        if (!node.isTextual() || node.textValue().isBlank()) {
            addProblem(field, Code.INVALID, abbreviated(node) + " is not non-blank text");
            return "";
        }
        return node.textValue();
    }

    Optional<WorkspaceId> workspace() {
        String text = text("workspace");
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new WorkspaceId(text));
        } catch (IllegalIdException problem) {
            addProblem("workspace", Code.INVALID, problem.getMessage());
            return Optional.empty();
        }
    }

    Optional<JobOutcome> outcome() {
        String text = text("outcome");
        Optional<JobOutcome> outcome = JobOutcome.byKey(text);
        if (!text.isEmpty() && outcome.isEmpty()) {
            addProblem("outcome", Code.INVALID, "'" + text + "' is no outcome");
        }
        return outcome;
    }

    boolean flag(String field) {
        JsonNode node = read(field);
        if (!node.isMissingNode() && !node.isBoolean()) {
            addProblem(field, Code.INVALID, abbreviated(node) + " is not true or false");
        }
        return node.booleanValue();
    }

    long timeMs(String field) {
        return number(field, MAX_TIME_MS);
    }

    long count(String field) {
        return number(field, Long.MAX_VALUE);
    }

    OptionalLong optionalTimeMs(String field) {
        if (!object.hasNonNull(field)) {
            fieldsRead.add(field);
            return OptionalLong.empty();
        }
        return OptionalLong.of(timeMs(field));
    }

    double share(String field) {
        JsonNode node = read(field);
        boolean valid = node.isNumber() && node.doubleValue() >= 0 && node.doubleValue() <= 1;
        if (!node.isMissingNode() && !valid) {
            addProblem(field, Code.INVALID, abbreviated(node) + " is not a number from 0 to 1");
        }
        return node.doubleValue();
    }

    /** Adds a problem for each field that has not been read; called after all reads. */
    void rejectUnknownFields() {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!fieldsRead.contains(name)) {
                addProblem(name, Code.UNKNOWN_FIELD, "no such field in this type of record");
            }
        }
    }

    private long number(String field, long max) {
        JsonNode node = read(field);
        boolean valid = node.canConvertToLong() && node.isIntegralNumber() && node.longValue() >= 0;
        if (node.isMissingNode()) {
            return 0;
        }
        if (!valid || node.longValue() > max) {
            addProblem(field, Code.INVALID, abbreviated(node) + " is not a whole number from 0 to " + max);
        }
        return node.longValue();
    }

    private JsonNode read(String field) {
        fieldsRead.add(field);
        JsonNode node = object.path(field);
        if (node.isMissingNode()) {
            addProblem(field, Code.MISSING, "must be given");
        }
        return node;
    }

    private static String abbreviated(JsonNode node) {
        String text = node.toString();
        int maxLength = 60;
        return text.length() <= maxLength ? text : text.substring(0, maxLength) + "...";
    }
}
