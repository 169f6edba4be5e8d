package rig;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer: objects are maps, arrays are lists, whole numbers are longs. */
public final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the value at " + json.at);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a map of alternating names and values. */
    public static Map<String, Object> map(Object... parts) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < parts.length; i += 2) {
            map.put((String) parts[i], parts[i + 1]);
        }
        return map;
    }

    public static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            map.forEach((name, entry) -> {
                if (out.charAt(out.length() - 1) != '{') {
                    out.append(',');
                }
                write(name, out);
                out.append(':');
                write(entry, out);
            });
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            for (Object entry : list) {
                if (out.charAt(out.length() - 1) != '[') {
                    out.append(',');
                }
                write(entry, out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private char next() {
        space();
        return text.charAt(at);
    }

    private void expect(char c) {
        if (next() != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            return readObject();
        }
        if (c == '[') {
            return readArray();
        }
        if (c == '"') {
            return readString();
        }
        int from = at;
        while (at < text.length() && "+-.0123456789abcdefghijklmnopqrstuvwxyzE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        expect('{');
        while (next() != '}') {
            String name = readString();
            expect(':');
            map.put(name, value());
            if (next() == ',') {
                at++;
            }
        }
        at++;
        return map;
    }

    private List<Object> readArray() {
        List<Object> list = new ArrayList<>();
        expect('[');
        while (next() != ']') {
            list.add(value());
            if (next() == ',') {
                at++;
            }
        }
        at++;
        return list;
    }

    private String readString() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }
}
