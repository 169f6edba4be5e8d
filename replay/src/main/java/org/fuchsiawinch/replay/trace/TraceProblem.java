package org.fuchsiawinch.replay.trace;

/**
 * Problem in a trace, with its location.
 *
 * @param file name of the file
 * @param line line number from 1
 * @param field name of the field; empty if the problem concerns the whole line
 * @param fault kind of the problem
 */
public record TraceProblem(String file, int line, String field, TraceFault fault) {

    @Override
    public String toString() {
        return "file=" + file + " line=" + line + " field=" + (field.isEmpty() ? "-" : field) + " fault=" + fault;
    }
}
