package lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer, so that the cases need no library. */
public final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            while (text.charAt(at) != '}') {
                String key = string();
                space();
                at++; // colon
                map.put(key, value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            while (text.charAt(at) != ']') {
                list.add(value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.contains(".") || word.contains("e") || word.contains("E")
                    ? (Object) Double.valueOf(word)
                    : (Object) Long.valueOf(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
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

    public static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            boolean first = true;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(first ? "" : ",");
                first = false;
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            boolean first = true;
            for (Object item : list) {
                out.append(first ? "" : ",");
                first = false;
                write(item, out);
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

    /** Builds a map from alternating keys and values. */
    public static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }
}
