package org.fuchsiawinch.report.records;

/**
 * One problem of a file of records and its place.
 *
 * @param file name of the file as given to the reader
 * @param line line in the file, from 1
 * @param field name of the field; empty for the whole line
 * @param code kind of the problem
 * @param detail what was found and what is expected
 */
public record RecordProblem(String file, long line, String field, Code code, String detail) {

    /** Kinds of problem. */
    public enum Code {
        /** The line is not one JSON object. */
        MALFORMED,
        /** The field is not given. */
        MISSING,
        /** The value has the wrong type or is out of bounds. */
        INVALID,
        /** There is no such field in this kind of record. */
        UNKNOWN_FIELD,
        /** There is no such kind of record. */
        UNKNOWN_TYPE,
        /** The same job stands in another line with other fields. */
        CONFLICT,
        /** The file cannot be read. */
        UNREADABLE
    }

    @Override
    public String toString() {
        return file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + code + ": " + detail;
    }
}
