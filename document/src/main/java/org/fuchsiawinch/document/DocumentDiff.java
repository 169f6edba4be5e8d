package org.fuchsiawinch.document;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.document.internal.ProblemCollector;
import org.fuchsiawinch.document.internal.YamlNode;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;
import org.fuchsiawinch.document.internal.YamlNode.Scalar;
import org.fuchsiawinch.document.internal.YamlNode.Sequence;
import org.fuchsiawinch.document.internal.YamlTreeParser;

/** Compares documents by section and field. Stateless. */
public final class DocumentDiff {

    private static final YamlTreeParser PARSER = new YamlTreeParser();

    private DocumentDiff() {}

    /**
     * Compares two documents.
     *
     * @param before the first document
     * @param after the second document
     * @return the sections whose texts differ, in the order of {@link Section}
     */
    public static List<SectionDiff> between(Document before, Document after) {
        List<SectionDiff> diffs = new ArrayList<>();
        for (Section section : Section.values()) {
            String oldText = before.sectionTexts().get(section);
            String newText = after.sectionTexts().get(section);
            if (!oldText.equals(newText)) {
                String owner = before.ownerOf(section).map(Team::name).orElse("");
                diffs.add(new SectionDiff(section, owner, changes(section, oldText, newText)));
            }
        }
        return diffs;
    }

    private static List<FieldChange> changes(Section section, String oldText, String newText) {
        Map<String, String> before = flatten(oldText);
        Map<String, String> after = flatten(newText);
        Set<String> paths = new LinkedHashSet<>(before.keySet());
        paths.addAll(after.keySet());
        return paths.stream()
                .filter(path -> !Optional.ofNullable(before.get(path)).equals(Optional.ofNullable(after.get(path))))
                .map(path -> new FieldChange(
                        section, path, Optional.ofNullable(before.get(path)), Optional.ofNullable(after.get(path))))
                .toList();
    }

    private static Map<String, String> flatten(String sectionText) {
        Map<String, String> values = new LinkedHashMap<>();
        Optional<Mapping> tree = PARSER.parse(sectionText, new ProblemCollector(""));
        tree.ifPresent(root -> collect("", root, values));
        return values;
    }

    private static void collect(String path, YamlNode node, Map<String, String> values) {
        if (node instanceof Mapping mapping) {
            mapping.members()
                    .forEach((key, member) -> collect(path.isEmpty() ? key : path + "." + key, member.value(), values));
            return;
        }
        if (node instanceof Sequence sequence) {
            for (int i = 0; i < sequence.items().size(); i++) {
                collect(path + "[" + i + "]", sequence.items().get(i), values);
            }
            return;
        }
        values.put(path, ((Scalar) node).text());
    }
}
