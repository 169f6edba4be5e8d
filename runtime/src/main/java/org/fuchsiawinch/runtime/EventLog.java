package org.fuchsiawinch.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes one line of key=value pairs for each event. Thread-safe. */
public final class EventLog {

    private final Logger logger;

    /**
     * Creates a log.
     *
     * @param source class that the events come from
     */
    public EventLog(Class<?> source) {
        this.logger = LoggerFactory.getLogger(source);
    }

    /**
     * Writes an event.
     *
     * @param event name of the event
     * @param pairs keys and values in turn
     */
    public void info(String event, Object... pairs) {
        if (logger.isInfoEnabled()) {
            logger.info(line(event, pairs));
        }
    }

    /**
     * Writes an event that operators should look at.
     *
     * @param event name of the event
     * @param pairs keys and values in turn
     */
    public void warn(String event, Object... pairs) {
        if (logger.isWarnEnabled()) {
            logger.warn(line(event, pairs));
        }
    }

    static String line(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty()
                && value.chars().noneMatch(c -> Character.isWhitespace(c) || c == '"' || c == '=' || c == '\\');
        if (plain) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
