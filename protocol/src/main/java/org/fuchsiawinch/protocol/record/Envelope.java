package org.fuchsiawinch.protocol.record;

/**
 * A record as it stands in the log.
 *
 * @param id writer and sequence
 * @param schemaVersion version of the record format
 * @param writtenMs writer's time in ms since the epoch when it was made
 * @param record the content
 */
public record Envelope(RecordId id, int schemaVersion, long writtenMs, LogRecord record) {

    /** Version of the record format that this code writes. */
    public static final int SCHEMA_VERSION = 1;
}
