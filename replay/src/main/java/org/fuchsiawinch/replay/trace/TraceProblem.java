package org.fuchsiawinch.replay.trace;

/**
 * One problem of a trace with its place.
 *
 * @param file name of the file
 * @param line line from 1 on; 0 where the file as a whole is meant
 * @param field name of the field; empty where the line as a whole is meant
 * @param fault what is wrong
 */
public record TraceProblem(String file, int line, String field, TraceFault fault) {

    @Override
    public String toString() {
        return "file=" + file + " line=" + line + " field=" + (field.isEmpty() ? "-" : field) + " fault=" + fault;
    }
}
