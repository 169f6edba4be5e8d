package org.fuchsiawinch.document;

import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that the page on the document describes exactly the fields that the reader knows. */
public final class FieldTableTest {

    private static final String BEGIN = "<!-- fields: begin -->\n";
    private static final String END = "<!-- fields: end -->";

    /** The tables of the page match those generated from the code. */
    @Test
    public void matchesThePage() {
        String page = Samples.read(Path.of("..", "docs", "DOCUMENT.md"));
        String tables = page.substring(page.indexOf(BEGIN) + BEGIN.length(), page.indexOf(END));
        assertEquals(tables, FieldTable.markdown(), "rewrite with: bin/fuchsiawinch-ctl document fields");
    }

    /** No path occurs twice, and paths of entries and list items show which part repeats. */
    @Test
    public void describesEachFieldOnce() {
        Set<String> paths = DocumentReader.fieldDefinitions().stream()
                .map(FieldDefinition::path)
                .collect(Collectors.toSet());
        assertEquals(paths.size(), DocumentReader.fieldDefinitions().size());
        assertTrue(paths.contains("capacity.workspaces.<workspace>.guarantees[].per-part.memory"), paths.toString());
    }
}
