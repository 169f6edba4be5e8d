package org.fuchsiawinch.runtime;

import ch.qos.logback.classic.LoggerContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes each event as one line of key=value pairs. Thread-safe. */
public final class EventLog {

    /** Longest value in characters; the rest is replaced by its length, since values may come from other writers. */
    static final int MAX_VALUE_LENGTH = 400;

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
     * @param pairs alternating keys and values; a last key without value is ignored
     */
    public void info(String event, Object... pairs) {
        if (logger.isInfoEnabled()) {
            logger.info(format(event, pairs));
        }
    }

    /**
     * Writes an event that operators should look into, at warning level.
     *
     * @param event name of the event
     * @param pairs alternating keys and values; a last key without value is ignored
     */
    public void warn(String event, Object... pairs) {
        if (logger.isWarnEnabled()) {
            logger.warn(format(event, pairs));
        }
    }

    /** Writes the lines of all logs that are still queued and ends logging; call before the process exits. */
    public static void close() {
        if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
            context.stop();
        }
    }

    static String format(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(bounded(String.valueOf(pairs[i + 1]))));
        }
        return line.toString();
    }

    private static String bounded(String value) {
        return value.length() <= MAX_VALUE_LENGTH
                ? value
                : value.substring(0, MAX_VALUE_LENGTH) + "...+" + (value.length() - MAX_VALUE_LENGTH);
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty()
                && value.chars()
                        .noneMatch(c -> Character.isWhitespace(c)
                                || Character.isISOControl(c)
                                || c == '"'
                                || c == '='
                                || c == '\\');
        if (plain) {
            return value;
        }
        StringBuilder quoted = new StringBuilder(value.length() + 2).append('"');
        value.chars().forEach(c -> appendEscaped(quoted, (char) c));
        return quoted.append('"').toString();
    }

    private static void appendEscaped(StringBuilder quoted, char c) {
        switch (c) {
            case '\\' -> quoted.append("\\\\");
            case '"' -> quoted.append("\\\"");
            case '\n' -> quoted.append("\\n");
            case '\r' -> quoted.append("\\r");
            default -> {
                if (Character.isISOControl(c)) {
                    quoted.append(String.format("\\u%04x", (int) c));
                } else {
                    quoted.append(c);
                }
            }
        }
    }
}
