package org.fuchsiawinch.document.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.fuchsiawinch.document.DocumentProblem;
import org.fuchsiawinch.document.ProblemCode;

/** Collects the problems of one file. Not thread-safe. */
public final class ProblemCollector {

    private final String file;
    private final List<DocumentProblem> found = new ArrayList<>();

    /**
     * Creates an empty collector.
     *
     * @param file name of the file
     */
    public ProblemCollector(String file) {
        this.file = file;
    }

    /**
     * Adds a problem.
     *
     * @param line line in the file, from 1
     * @param field path of the field
     * @param code kind of the problem
     * @param detail what was found and what is expected
     */
    public void add(int line, String field, ProblemCode code, String detail) {
        found.add(new DocumentProblem(file, line, field, code, detail));
    }

    /**
     * Returns whether no problem has been found.
     *
     * @return true if there is no problem
     */
    public boolean isEmpty() {
        return found.isEmpty();
    }

    /**
     * Returns the problems in the order of their lines.
     *
     * @return the problems; those of the same line in the order in which they were found
     */
    public List<DocumentProblem> sorted() {
        return found.stream()
                .sorted(Comparator.comparingInt(DocumentProblem::line))
                .toList();
    }
}
