package org.fuchsiawinch.replay;

/**
 * One problem of an input file with its place.
 *
 * @param file name of the file
 * @param line line from 1 on; 0 where the file as a whole is meant
 * @param field name of the field; empty where the line as a whole is meant
 * @param code what is wrong
 */
public record ReplayProblem(String file, int line, String field, String code) {

    @Override
    public String toString() {
        return "event=input-refused file=" + file + " line=" + line + " field=" + (field.isEmpty() ? "-" : field)
                + " code=" + code;
    }
}
