package org.fuchsiawinch.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.document.internal.DocumentBinder;
import org.fuchsiawinch.document.internal.DocumentSchema;
import org.fuchsiawinch.document.internal.ProblemCollector;
import org.fuchsiawinch.document.internal.SectionSplitter;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;
import org.fuchsiawinch.document.internal.YamlTreeParser;

/**
 * Reads documents. A document is either accepted as a whole or rejected as a whole with all its problems. Immutable and
 * thread-safe.
 */
public final class DocumentReader {

    private final YamlTreeParser parser = new YamlTreeParser();

    /**
     * Reads a document.
     *
     * @param fileName name of the file, for the locations of problems
     * @param yamlText the whole text
     * @return the document of version 0, or the problems
     */
    public DocumentResult read(String fileName, String yamlText) {
        ProblemCollector problems = new ProblemCollector(fileName);
        Optional<Document> document = parser.parse(yamlText, problems).flatMap(tree -> bind(yamlText, tree, problems));
        if (document.isEmpty() || !problems.isEmpty()) {
            return new DocumentResult.Rejected(problems.sorted());
        }
        return new DocumentResult.Accepted(document.get());
    }

    /**
     * Returns the definitions of all fields.
     *
     * @return the definitions in the order of the sections
     */
    public static List<FieldDefinition> fieldDefinitions() {
        return DocumentSchema.ROOT.groups().stream()
                .flatMap(group -> group.definitions(""))
                .toList();
    }

    private static Optional<Document> bind(String text, Mapping tree, ProblemCollector problems) {
        Map<Section, String> sectionTexts =
                SectionSplitter.split(text, tree, problems).orElse(Map.of());
        return DocumentBinder.bind(text, sectionTexts, tree, problems);
    }
}
