package org.fuchsiawinch.document;

/**
 * Problem in a document and its location.
 *
 * @param file name of the file as given to the reader
 * @param line line in the file, from 1
 * @param field path of the field, keys joined by dots and list indexes in brackets; empty for the whole file
 * @param code kind of the problem
 * @param detail what was found and what is expected
 */
public record DocumentProblem(String file, int line, String field, ProblemCode code, String detail) {

    @Override
    public String toString() {
        return file + ":" + line + ": " + (field.isEmpty() ? "" : field + ": ") + code + ": " + detail;
    }
}
