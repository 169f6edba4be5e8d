package org.fuchsiawinch.replay;

/**
 * Problem in an input file, with its location.
 *
 * @param file name of the file
 * @param line line number from 1; 0 if the problem concerns the whole file
 * @param field name of the field; empty if the problem concerns the whole line
 * @param code code of the problem
 */
public record ReplayProblem(String file, int line, String field, String code) {

    @Override
    public String toString() {
        return "event=input-refused file=" + file + " line=" + line + " field=" + (field.isEmpty() ? "-" : field)
                + " code=" + code;
    }
}
