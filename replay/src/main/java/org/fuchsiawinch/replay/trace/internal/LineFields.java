package org.fuchsiawinch.replay.trace.internal;

import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.model.IllegalIdException;
import org.fuchsiawinch.replay.trace.TraceFault;
import org.fuchsiawinch.replay.trace.TraceProblem;

/**
 * Reads typed fields of one line and collects the line's problems. An invalid field, or a required one that is missing,
 * is reported and reads as a stated value, so that one pass finds all problems. A field with the value null counts as
 * missing. Not thread-safe; use one instance per line.
 */
public final class LineFields {

    private final String file;
    private final int line;
    private final ObjectNode node;
    private final List<TraceProblem> problems;
    private final Set<String> fieldsRead = new HashSet<>();

    /**
     * Creates the reader of one line.
     *
     * @param file name of the file
     * @param line line number from 1
     * @param node the line's object
     * @param problems list that problems are added to
     */
    public LineFields(String file, int line, ObjectNode node, List<TraceProblem> problems) {
        this.file = file;
        this.line = line;
        this.node = node;
        this.problems = problems;
    }

    /**
     * Reads an integer.
     *
     * @param field name of the field
     * @param min lowest value
     * @param max highest value
     * @return the number, or the lowest value if the field is missing or invalid
     */
    public long number(String field, long min, long max) {
        JsonNode value = required(field);
        return value == null ? min : checkedNumber(field, value, min, max);
    }

    /**
     * Reads an optional integer.
     *
     * @param field name of the field
     * @param min lowest value
     * @param max highest value
     * @param fallback value if the field is missing
     * @return the number, or the lowest value if the field is invalid
     */
    public long number(String field, long min, long max, long fallback) {
        JsonNode value = optional(field);
        return value == null ? fallback : checkedNumber(field, value, min, max);
    }

    /**
     * Reads a decimal number.
     *
     * @param field name of the field
     * @param min lowest value
     * @param max highest value
     * @return the number, or the lowest value if the field is missing or invalid
     */
    public double decimal(String field, double min, double max) {
        JsonNode value = required(field);
        if (value == null) {
            return min;
        }
        if (!value.isNumber()) {
            report(field, TraceFault.FIELD_TYPE);
            return min;
        }
        double number = value.asDouble();
        if (!(number >= min && number <= max)) {
            report(field, TraceFault.FIELD_RANGE);
            return min;
        }
        return number;
    }

    /**
     * Reads an optional boolean.
     *
     * @param field name of the field
     * @param fallback value if the field is missing
     * @return the boolean, or the fallback if the field is invalid
     */
    public boolean flag(String field, boolean fallback) {
        JsonNode value = optional(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isBoolean()) {
            report(field, TraceFault.FIELD_TYPE);
            return fallback;
        }
        return value.asBoolean();
    }

    /**
     * Reads a non-blank string.
     *
     * @param field name of the field
     * @return the string, or {@code invalid} if the field is missing, blank or not a string
     */
    public String text(String field) {
        JsonNode value = required(field);
        if (value == null) {
            return "invalid";
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            report(field, TraceFault.FIELD_TYPE);
            return "invalid";
        }
        return value.asText();
    }

    /**
     * Reads an identifier.
     *
     * @param field name of the field
     * @param factory creates the identifier from its text; throws IllegalIdException if the text is not allowed
     * @param <T> type of the identifier
     * @return the identifier, or one with the text {@code invalid} if the field is missing or invalid
     */
    public <T> T id(String field, Function<String, T> factory) {
        try {
            return factory.apply(text(field));
        } catch (IllegalIdException e) {
            report(field, TraceFault.FIELD_ID);
            return factory.apply("invalid");
        }
    }

    /**
     * Reads an optional enum constant, written by its name.
     *
     * @param field name of the field
     * @param type the enum
     * @param fallback value if the field is missing or invalid
     * @param <T> the enum
     * @return the constant
     */
    public <T extends Enum<T>> T constant(String field, Class<T> type, T fallback) {
        JsonNode value = optional(field);
        if (value == null) {
            return fallback;
        }
        for (T constant : type.getEnumConstants()) {
            if (constant.name().equals(value.asText())) {
                return constant;
            }
        }
        report(field, TraceFault.FIELD_TYPE);
        return fallback;
    }

    /**
     * Returns whether the line has a field.
     *
     * @param field name of the field
     * @return true if the field is present, also with the value null
     */
    public boolean has(String field) {
        return node.has(field);
    }

    /**
     * Reports a problem.
     *
     * @param field name of the field; empty if the problem concerns the whole line
     * @param fault kind of the problem
     */
    public void report(String field, TraceFault fault) {
        problems.add(new TraceProblem(file, line, field, fault));
    }

    /** Reports each field of the line that was not read. */
    public void reportUnknownFields() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!fieldsRead.contains(name)) {
                report(name, TraceFault.FIELD_UNKNOWN);
            }
        }
    }

    private long checkedNumber(String field, JsonNode value, long min, long max) {
        if (!value.isIntegralNumber()) {
            report(field, TraceFault.FIELD_TYPE);
            return min;
        }
        long number = value.asLong();
        if (!value.canConvertToLong() || number < min || number > max) {
            report(field, TraceFault.FIELD_RANGE);
            return min;
        }
        return number;
    }

    private JsonNode required(String field) {
        JsonNode value = optional(field);
        if (value == null) {
            report(field, TraceFault.FIELD_MISSING);
        }
        return value;
    }

    private JsonNode optional(String field) {
        fieldsRead.add(field);
        JsonNode value = node.get(field);
        return value == null || value.isNull() ? null : value;
    }
}
