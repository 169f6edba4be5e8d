package org.fuchsiawinch.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes each event as one line of key=value pairs. Thread-safe. */
public final class EventLog {

    private final Logger logger;

    /**
     * Creates a log.
     *
     * @param source class that the events are attributed to
     */
    public EventLog(Class<?> source) {
        this.logger = LoggerFactory.getLogger(source);
    }

    /**
     * Writes an event at info level.
     *
     * @param event name of the event
     * @param pairs alternating keys and values
     */
    public void info(String event, Object... pairs) {
        if (logger.isInfoEnabled()) {
            logger.info(format(event, pairs));
        }
    }

    /**
     * Writes an event at warning level, which operators should look into.
     *
     * @param event name of the event
     * @param pairs alternating keys and values
     */
    public void warn(String event, Object... pairs) {
        if (logger.isWarnEnabled()) {
            logger.warn(format(event, pairs));
        }
    }

    static String format(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(String.valueOf(pairs[i + 1])));
        }
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
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
