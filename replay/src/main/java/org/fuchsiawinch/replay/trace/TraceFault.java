package org.fuchsiawinch.replay.trace;

/** Kinds of problems in a trace. */
public enum TraceFault {
    /** The line is not a JSON object. */
    NOT_JSON,
    /** The first line is not a header. */
    HEADER_MISSING,
    /** A header appears after the first line. */
    HEADER_REPEATED,
    /** This release does not support the format version. */
    FORMAT_UNKNOWN,
    /** The type of the line is unknown. */
    TYPE_UNKNOWN,
    /** A field is missing. */
    FIELD_MISSING,
    /** A field is not allowed for the type of the line. */
    FIELD_UNKNOWN,
    /** A field has the wrong type, is blank or is not one of the allowed constants. */
    FIELD_TYPE,
    /** A number is out of range. */
    FIELD_RANGE,
    /** An identifier is too long or contains white space. */
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
    /** The file cannot be read. */
    FILE_UNREADABLE
}
