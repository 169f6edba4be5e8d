package org.fuchsiawinch.document.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;

/**
 * Splits a document's text into the texts of its sections. Each line belongs to exactly one section: a section consists
 * of the comments and blank lines directly above its key, the key's line and the lines that follow. Stateless.
 */
public final class SectionSplitter {

    private SectionSplitter() {}

    /**
     * Splits a text.
     *
     * @param text the whole text
     * @param tree the parsed text
     * @param problems receives the problems found
     * @return text of each section in the order of the file, or empty if the text cannot be split
     */
    public static Optional<Map<Section, String>> split(String text, Mapping tree, ProblemCollector problems) {
        List<String> lines = splitLines(text);
        if (!checkLineEnds(text, lines, problems)) {
            return Optional.empty();
        }
        Map<Section, Integer> keyLines = new EnumMap<>(Section.class);
        tree.members().forEach((key, member) -> Section.ofKey(key).ifPresent(section -> {
            if (!lines.get(member.keyLine() - 1).startsWith(key + ":")) {
                problems.add(
                        member.keyLine(), key, ProblemCode.SYNTAX, "a section's key starts its line, without quotes");
            }
            keyLines.put(section, member.keyLine());
        }));
        return Optional.of(sectionTexts(lines, keyLines));
    }

    private static Map<Section, String> sectionTexts(List<String> lines, Map<Section, Integer> keyLines) {
        List<Section> sectionsInOrder = keyLines.keySet().stream()
                .sorted((a, b) -> Integer.compare(keyLines.get(a), keyLines.get(b)))
                .toList();
        Map<Section, String> texts = new LinkedHashMap<>();
        for (int i = 0; i < sectionsInOrder.size(); i++) {
            int from = i == 0 ? 0 : firstLineOf(lines, keyLines.get(sectionsInOrder.get(i)));
            int to = i + 1 == sectionsInOrder.size()
                    ? lines.size()
                    : firstLineOf(lines, keyLines.get(sectionsInOrder.get(i + 1)));
            texts.put(sectionsInOrder.get(i), String.join("", lines.subList(from, Math.max(from, to))));
        }
        return texts;
    }

    private static int firstLineOf(List<String> lines, int keyLine) {
        int first = keyLine - 1;
        while (first > 0
                && (lines.get(first - 1).isBlank() || lines.get(first - 1).startsWith("#"))) {
            first--;
        }
        return first;
    }

    private static boolean checkLineEnds(String text, List<String> lines, ProblemCollector problems) {
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).replace("\r\n", "\n");
            if (line.chars().anyMatch(SectionSplitter::isOtherLineEnd)) {
                problems.add(i + 1, "", ProblemCode.SYNTAX, "a line ends with a character other than LF or CR LF");
                return false;
            }
        }
        if (!text.endsWith("\n")) {
            problems.add(lines.size(), "", ProblemCode.SYNTAX, "the last line has no line end");
            return false;
        }
        return true;
    }

    private static boolean isOtherLineEnd(int character) {
        return character == '\r' || character == 0x85 || character == 0x2028 || character == 0x2029;
    }

    private static List<String> splitLines(String text) {
        List<String> lines = new ArrayList<>();
        int from = 0;
        while (from < text.length()) {
            int end = text.indexOf('\n', from);
            int to = end < 0 ? text.length() : end + 1;
            lines.add(text.substring(from, to));
            from = to;
        }
        return lines;
    }
}
