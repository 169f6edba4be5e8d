package org.fuchsiawinch.document;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Loads the sample documents. */
public final class Samples {

    private static final Path FOLDER = Path.of("..", "samples");

    private Samples() {}

    public static String text(String sample) {
        return read(FOLDER.resolve(sample).resolve("document.yaml"));
    }

    public static String key(String sample, String team) {
        return read(FOLDER.resolve(sample).resolve("keys").resolve(team + ".sample.pem"));
    }

    public static Document accepted(String sample) {
        DocumentResult result = new DocumentReader().read(sample, text(sample));
        if (result instanceof DocumentResult.Accepted accepted) {
            return accepted.document();
        }
        throw new AssertionError(result.toString());
    }

    public static String read(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
