package org.fuchsiawinch.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentProblem;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;

/** Reads the files that are named on the command line. Stateless. */
final class InputFiles {

    private static final DocumentReader READER = new DocumentReader();

    private InputFiles() {}

    /**
     * Reads a text file.
     *
     * @param file name of the file
     * @return contents of the file
     * @throws UnreadableFileException if the file cannot be read as UTF-8 or its name is not a valid path
     */
    static String readText(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new UnreadableFileException(file, e);
        }
    }

    /**
     * Reads a document. Prints its problems as lines to standard error, or as JSON to standard output.
     *
     * @param file name of the file
     * @param invocation the invocation, with output format and console
     * @return the document, or empty if it has problems
     * @throws UnreadableFileException if the file cannot be read as UTF-8 or its name is not a valid path
     */
    static Optional<Document> readDocument(String file, Invocation invocation) {
        return parseDocument(file, readText(file), invocation);
    }

    /**
     * Parses a document. Prints its problems as lines to standard error, or as JSON to standard output.
     *
     * @param name name of the text in problem messages
     * @param text the text
     * @param invocation the invocation, with output format and console
     * @return the document, or empty if it has problems
     */
    static Optional<Document> parseDocument(String name, String text, Invocation invocation) {
        DocumentResult result = READER.read(name, text);
        if (result instanceof DocumentResult.Rejected rejected) {
            printProblems(rejected.problems(), invocation);
            return Optional.empty();
        }
        return Optional.of(((DocumentResult.Accepted) result).document());
    }

    private static void printProblems(List<DocumentProblem> problems, Invocation invocation) {
        if (invocation.format() == OutputFormat.TABLE) {
            problems.forEach(invocation.console().err()::println);
            return;
        }
        ObjectNode report = JsonNodeFactory.instance.objectNode().put("valid", false);
        ArrayNode problemArray = report.putArray("problems");
        problems.forEach(problem -> problemArray
                .addObject()
                .put("file", problem.file())
                .put("line", problem.line())
                .put("field", problem.field())
                .put("code", problem.code().name())
                .put("detail", problem.detail()));
        invocation.console().out().println(report.toPrettyString());
    }
}
