package org.fuchsiawinch.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads sample documents and keys, and reads and writes session transcripts. All methods throw
 * {@link SampleFileException} if a file cannot be read or written. Immutable and thread-safe.
 *
 * @param folder folder of all samples
 */
record SampleFiles(Path folder) {

    /** Reads the text of a site's first document. */
    String document(String site) {
        return read(folder.resolve(site).resolve("document.yaml"));
    }

    /** Reads a team's private key in PEM form. */
    String key(String site, String team) {
        return read(folder.resolve(site).resolve("keys").resolve(team + ".sample.pem"));
    }

    /** Reads a session's transcript; returns an empty string if the file does not exist. */
    String transcript(String session) {
        Path file = file(session);
        return Files.exists(file) ? read(file) : "";
    }

    /** Writes a session's transcript. */
    void write(String session, String transcript) {
        try {
            Files.createDirectories(file(session).getParent());
            Files.writeString(file(session), transcript);
        } catch (IOException e) {
            throw new SampleFileException(file(session), e);
        }
    }

    private Path file(String session) {
        return folder.resolve("sessions").resolve(session + ".session");
    }

    private static String read(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SampleFileException(file, e);
        }
    }
}
