package org.fuchsiawinch.document.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;
import org.fuchsiawinch.document.internal.YamlNode.Member;
import org.fuchsiawinch.document.internal.YamlNode.Scalar;
import org.fuchsiawinch.document.internal.YamlNode.ScalarKind;
import org.fuchsiawinch.document.internal.YamlNode.Sequence;

/**
 * Parses YAML text into a tree with line numbers. Anchors, aliases, tags and more than one document in a file are
 * reported as problems. Immutable and thread-safe.
 */
public final class YamlTreeParser {

    /** Maximum length of a text in characters. */
    public static final int MAX_TEXT_CHARS = 2_000_000;

    private static final int MAX_DEPTH = 12;

    private final YAMLFactory factory = new YAMLFactory();

    /**
     * Parses a text.
     *
     * @param text the YAML text
     * @param problems receives the problems found
     * @return the root mapping, or empty if the text cannot be parsed
     */
    public Optional<Mapping> parse(String text, ProblemCollector problems) {
        if (text.length() > MAX_TEXT_CHARS) {
            problems.add(1, "", ProblemCode.TOO_LARGE, "more than " + MAX_TEXT_CHARS + " characters");
            return Optional.empty();
        }
        try (YAMLParser parser = factory.createParser(text)) {
            return new TreeBuilder(parser, problems).root();
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            problems.add(line, "", ProblemCode.SYNTAX, firstLine(e.getOriginalMessage()));
            return Optional.empty();
        } catch (IOException e) {
            problems.add(1, "", ProblemCode.SYNTAX, firstLine(e.getMessage()));
            return Optional.empty();
        }
    }

    private static String firstLine(String message) {
        return String.valueOf(message).lines().findFirst().orElse("unreadable");
    }

    /** Builds the tree of one text in one pass. */
    private static final class TreeBuilder {

        private final YAMLParser parser;
        private final ProblemCollector problems;

        TreeBuilder(YAMLParser parser, ProblemCollector problems) {
            this.parser = parser;
            this.problems = problems;
        }

        Optional<Mapping> root() throws IOException {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                problems.add(1, "", ProblemCode.SYNTAX, "the document is not a mapping of sections");
                return Optional.empty();
            }
            Mapping root = mapping("", 1);
            if (parser.nextToken() != null) {
                problems.add(line(), "", ProblemCode.SYNTAX, "more than one YAML document in the file");
            }
            return Optional.of(root);
        }

        private YamlNode node(String path, int depth) throws IOException {
            checkFeatures(path);
            if (depth > MAX_DEPTH) {
                problems.add(line(), path, ProblemCode.TOO_LARGE, "nested deeper than " + MAX_DEPTH);
                int line = line();
                parser.skipChildren();
                return new Scalar(line, ScalarKind.EMPTY, "");
            }
            if (parser.currentToken() == JsonToken.START_OBJECT) {
                return mapping(path, depth);
            }
            if (parser.currentToken() == JsonToken.START_ARRAY) {
                return sequence(path, depth);
            }
            return scalar();
        }

        private Mapping mapping(String path, int depth) throws IOException {
            int line = line();
            Map<String, Member> members = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                int keyLine = line();
                String memberPath = path.isEmpty() ? key : path + "." + key;
                parser.nextToken();
                Member member = new Member(keyLine, node(memberPath, depth + 1));
                if (members.putIfAbsent(key, member) != null) {
                    problems.add(keyLine, memberPath, ProblemCode.DUPLICATE_KEY, "the key stands here already");
                }
            }
            return new Mapping(line, members);
        }

        private Sequence sequence(String path, int depth) throws IOException {
            int line = line();
            List<YamlNode> items = new ArrayList<>();
            while (parser.nextToken() != JsonToken.END_ARRAY) {
                items.add(node(path + "[" + items.size() + "]", depth + 1));
            }
            return new Sequence(line, List.copyOf(items));
        }

        private Scalar scalar() throws IOException {
            int line = line();
            String text = parser.getText();
            JsonToken token = parser.currentToken();
            if (token == JsonToken.VALUE_NULL) {
                return new Scalar(line, ScalarKind.EMPTY, "");
            }
            if (token.isNumeric()) {
                return new Scalar(line, ScalarKind.NUMBER, text);
            }
            return new Scalar(line, token.isBoolean() ? ScalarKind.FLAG : ScalarKind.TEXT, text);
        }

        private void checkFeatures(String path) throws IOException {
            if (parser.isCurrentAlias() || parser.getObjectId() != null) {
                problems.add(line(), path, ProblemCode.SYNTAX, "anchors and aliases are not allowed");
            }
            if (parser.getTypeId() != null) {
                problems.add(line(), path, ProblemCode.SYNTAX, "tags are not allowed");
            }
        }

        private int line() {
            return Math.max(1, parser.currentTokenLocation().getLineNr());
        }
    }
}
