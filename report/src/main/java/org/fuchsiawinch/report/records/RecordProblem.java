package org.fuchsiawinch.report.records;

/**
 * Problem in a file of records, with its location.
 *
 * @param file name of the file as given to the reader
 * @param line line number in the file, starting at 1
 * @param field name of the field; empty for the whole line
 * @param code kind of the problem
 * @param detail what was found and what is expected
 */
public record RecordProblem(String file, long line, String field, Code code, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** The line is not a single JSON object. */
        MALFORMED,
        /** A required field is missing. */
        MISSING,
        /** The value has the wrong type or is out of range. */
        INVALID,
        /** The type of record has no such field. */
        UNKNOWN_FIELD,
        /** The type of record is unknown. */
        UNKNOWN_TYPE,
        /** An earlier line has the same job with different fields. */
        CONFLICT,
        /** The file cannot be read. */
        UNREADABLE
    }

    @Override
    public String toString() {
        return file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + code + ": " + detail;
    }
}
