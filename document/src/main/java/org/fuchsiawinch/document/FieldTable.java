package org.fuchsiawinch.document;

import java.util.List;
import java.util.stream.Collectors;

/** Writes the definitions of all fields as Markdown tables, one for each section. Stateless. */
public final class FieldTable {

    private FieldTable() {}

    /**
     * Returns the tables.
     *
     * @return Markdown text that ends with a newline
     */
    public static String markdown() {
        List<FieldDefinition> fields = DocumentReader.fieldDefinitions();
        StringBuilder text = new StringBuilder();
        for (Section section : Section.values()) {
            text.append("### ").append(section.key()).append("\n\n");
            text.append("| field | type and unit | default | bounds | meaning |\n|---|---|---|---|---|\n");
            text.append(fields.stream()
                    .filter(field -> field.path().startsWith(section.key() + "."))
                    .map(FieldTable::row)
                    .collect(Collectors.joining()));
            text.append('\n');
        }
        return text.toString();
    }

    private static String row(FieldDefinition field) {
        return "| `" + field.path() + "` | " + field.type() + " | " + field.defaultText() + " | " + field.bounds()
                + " | " + field.description() + " |\n";
    }
}
