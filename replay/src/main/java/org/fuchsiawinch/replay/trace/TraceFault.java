package org.fuchsiawinch.replay.trace;

/** Kinds of problems in a trace. */
public enum TraceFault {
    /** The line is no JSON object. */
    NOT_JSON,
    /** The first line is no header. */
    HEADER_MISSING,
    /** A header stands after the first line. */
    HEADER_REPEATED,
    /** The format version isn't known to this release. */
    FORMAT_UNKNOWN,
    /** The line's type isn't known. */
    TYPE_UNKNOWN,
    /** A field is missing. */
    FIELD_MISSING,
    /** A field isn't known for the line's type. */
    FIELD_UNKNOWN,
    /** A field has another type than the format asks for. */
    FIELD_TYPE,
    /** A number is below or above its bounds. */
    FIELD_RANGE,
    /** An identifier is blank, too long or has white space. */
    FIELD_ID,
    /** The time is before that of an earlier line. */
    TIME_FALLS,
    /** The line names a job that no earlier line submits. */
    JOB_UNKNOWN,
    /** The job was submitted before. */
    JOB_REPEATED,
    /** The line names a worker that no earlier line describes. */
    WORKER_UNKNOWN,
    /** The worker was described before. */
    WORKER_REPEATED,
    /** The file can't be read. */
    FILE_UNREADABLE
}
