package org.fuchsiawinch.replay;

/**
 * Problem in an input file, with its location.
 *
 * @param file name of the file
 * @param line line number from 1; 0 if the problem concerns the whole file or its line is unknown
 * @param field name of the field; empty if the problem concerns no single field
 * @param code name of the fault of a trace or outcome file, or problem code of a document
 */
public record ReplayProblem(String file, int line, String field, String code) {

    @Override
    public String toString() {
        return "event=input-refused file=" + file + " line=" + line + " field=" + (field.isEmpty() ? "-" : field)
                + " code=" + code;
    }
}
