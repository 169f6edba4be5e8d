package standins3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON value, so that the stand-ins need no library. A missing value holds null, as does the value null. */
public class JsonNode {

    private static final int HEX = 16;

    private final Object value;

    /** Creates a value: null, a string, number, boolean, list or map. */
    JsonNode(Object value) {
        this.value = value;
    }

    /** Parses a text; the result holds null if it is no JSON. */
    public static JsonNode parse(String text) {
        try {
            Parser parser = new Parser(text);
            Object parsed = parser.value();
            parser.skipSpace();
            return parser.at == text.length() ? wrap(parsed) : new JsonNode(null);
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            return new JsonNode(null);
        }
    }

    private static JsonNode wrap(Object value) {
        return value instanceof JsonNode node ? node : new JsonNode(value);
    }

    /** Returns a field; a value of null if there is none. */
    public JsonNode path(String field) {
        return value instanceof Map<?, ?> map ? wrap(map.get(field)) : new JsonNode(null);
    }

    /** Returns whether a field is there. */
    public boolean has(String field) {
        return value instanceof Map<?, ?> map && map.containsKey(field);
    }

    /** Returns the text of a string or number; an empty text of anything else. */
    public String asText() {
        return value instanceof String || value instanceof Number ? value.toString() : "";
    }

    /** Returns a number; 0 for anything else. */
    public long asLong() {
        return value instanceof Number number ? number.longValue() : 0;
    }

    /** Returns a number; 0 for anything else. */
    public int asInt() {
        return (int) asLong();
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof JsonNode node) {
            write(node.value, out);
        } else if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> field : map.entrySet()) {
                out.append(separator);
                write(field.getKey(), out);
                out.append(':');
                write(field.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String text) {
            writeString(text, out);
        } else {
            out.append(value);
        }
    }

    private static void writeString(String text, StringBuilder out) {
        out.append('"');
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    /** Recursive-descent parser. */
    private static final class Parser {
        private final String text;
        private int at;

        private Parser(String text) {
            this.text = text;
        }

        private void skipSpace() {
            while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
                at++;
            }
        }

        private Object value() {
            skipSpace();
            switch (text.charAt(at)) {
                case '{':
                    return object();
                case '[':
                    return array();
                case '"':
                    return string();
                default:
                    return literal();
            }
        }

        private Map<String, Object> object() {
            Map<String, Object> fields = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                String name = string();
                expect(':');
                fields.put(name, value());
                skipComma();
            }
            at++;
            return fields;
        }

        private List<Object> array() {
            List<Object> elements = new ArrayList<>();
            at++;
            while (next() != ']') {
                elements.add(value());
                skipComma();
            }
            at++;
            return elements;
        }

        private char next() {
            skipSpace();
            return text.charAt(at);
        }

        private void skipComma() {
            if (next() == ',') {
                at++;
            }
        }

        private void expect(char wanted) {
            if (next() != wanted) {
                throw new NumberFormatException("no " + wanted + " at " + at);
            }
            at++;
        }

        private String string() {
            expect('"');
            StringBuilder out = new StringBuilder();
            while (text.charAt(at) != '"') {
                char c = text.charAt(at++);
                out.append(c == '\\' ? escaped() : c);
            }
            at++;
            return out.toString();
        }

        private char escaped() {
            char c = text.charAt(at++);
            switch (c) {
                case 'n':
                    return '\n';
                case 't':
                    return '\t';
                case 'r':
                    return '\r';
                case 'b':
                    return '\b';
                case 'f':
                    return '\f';
                case 'u':
                    at += 4;
                    return (char) Integer.parseInt(text.substring(at - 4, at), HEX);
                default:
                    return c;
            }
        }

        private Object literal() {
            int start = at;
            while (at < text.length() && "{}[],:\" \n\r\t".indexOf(text.charAt(at)) < 0) {
                at++;
            }
            String word = text.substring(start, at);
            switch (word) {
                case "true":
                    return true;
                case "false":
                    return false;
                case "null":
                    return null;
                default:
                    return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
            }
        }
    }
}
