package org.fuchsiawinch.protocol.record;

/**
 * A log record with its id, format version and time of writing.
 *
 * @param id writer and sequence number
 * @param schemaVersion version of the record format
 * @param writtenMs writer's Unix time in ms at which the record was created
 * @param record the content
 */
public record Envelope(RecordId id, int schemaVersion, long writtenMs, LogRecord record) {

    /** Version of the record format that this code writes. */
    public static final int SCHEMA_VERSION = 1;
}
