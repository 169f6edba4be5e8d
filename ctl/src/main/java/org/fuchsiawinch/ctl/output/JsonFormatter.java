package org.fuchsiawinch.ctl.output;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats any JSON value as indented JSON or as text. In text, a list of objects is a table, and an object is lines of
 * key and value followed by its lists of objects; any other list is one cell with its first items. Stateless.
 */
public final class JsonFormatter {

    private static final int MAX_INLINE_ITEMS = 8;

    private JsonFormatter() {}

    /**
     * Formats a value.
     *
     * @param value the value
     * @param format the output format
     * @return text with a trailing line break
     */
    public static String render(JsonNode value, OutputFormat format) {
        if (format == OutputFormat.JSON) {
            return value.toPrettyString() + "\n";
        }
        StringBuilder text = new StringBuilder();
        appendText(text, value);
        return text.toString();
    }

    private static void appendText(StringBuilder text, JsonNode value) {
        if (isTable(value)) {
            text.append(formatTable(value));
            return;
        }
        if (!value.isObject()) {
            text.append(formatCell(value)).append('\n');
            return;
        }
        Map<String, JsonNode> tables = new LinkedHashMap<>();
        List<List<String>> keyValueRows = new ArrayList<>();
        visitLeaves("", value, (path, leaf) -> {
            if (isTable(leaf)) {
                tables.put(path, leaf);
            } else {
                keyValueRows.add(List.of(path, formatCell(leaf)));
            }
        });
        text.append(TextTable.withoutHeader(keyValueRows));
        tables.forEach((path, rows) -> {
            text.append(text.isEmpty() ? "" : "\n");
            text.append(tables.size() == 1 && keyValueRows.isEmpty() ? "" : path + ":\n");
            text.append(formatTable(rows));
        });
    }

    private static boolean isTable(JsonNode value) {
        return value.isArray()
                && StreamSupport.stream(value.spliterator(), false).allMatch(JsonNode::isObject);
    }

    private static String formatTable(JsonNode rows) {
        if (rows.isEmpty()) {
            return "none\n";
        }
        Set<String> columns = new LinkedHashSet<>();
        List<Map<String, String>> cells = new ArrayList<>();
        for (JsonNode row : rows) {
            Map<String, String> byColumn = new LinkedHashMap<>();
            visitLeaves("", row, (path, leaf) -> byColumn.put(path, formatCell(leaf)));
            columns.addAll(byColumn.keySet());
            cells.add(byColumn);
        }
        List<List<String>> lines = cells.stream()
                .map(row -> columns.stream()
                        .map(column -> row.getOrDefault(column, "-"))
                        .toList())
                .toList();
        return TextTable.withHeader(List.copyOf(columns), lines);
    }

    /** Receives each member that is not itself an object, with its dotted path. */
    private interface LeafVisitor {
        void visit(String path, JsonNode leaf);
    }

    private static void visitLeaves(String path, JsonNode value, LeafVisitor visitor) {
        if (!value.isObject()) {
            visitor.visit(path, value);
            return;
        }
        value.properties()
                .forEach(member -> visitLeaves(
                        path.isEmpty() ? member.getKey() : path + "." + member.getKey(), member.getValue(), visitor));
    }

    private static String formatCell(JsonNode leaf) {
        if (leaf.isNull()) {
            return "-";
        }
        if (!leaf.isArray()) {
            return leaf.asText().isEmpty() ? "-" : leaf.asText();
        }
        List<String> items = new ArrayList<>();
        leaf.forEach(item -> items.add(item.isValueNode() ? item.asText() : item.toString()));
        if (items.size() > MAX_INLINE_ITEMS) {
            String shown = String.join(",", items.subList(0, MAX_INLINE_ITEMS));
            return shown + ",... (" + items.size() + ")";
        }
        return items.isEmpty() ? "-" : String.join(",", items);
    }
}
