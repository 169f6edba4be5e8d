package org.fuchsiawinch.ctl.command;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.document.Document;

/** HTTP path of the document in force, and parsing of a node's reply that contains it. Stateless. */
final class DocumentResource {

    static final String PATH = "/v1/document";

    private DocumentResource() {}

    /**
     * Parses a node's reply that contains the document. Prints the problems of a text that this release cannot read.
     *
     * @param reply successful reply to a read of {@link #PATH}
     * @param invocation the invocation, with output format and console
     * @return the document with its version, or empty if the text has problems
     */
    static Optional<Document> parse(ApiReply reply, Invocation invocation) {
        JsonNode body = reply.body();
        int version = body.path("version").asInt();
        return InputFiles.parseDocument("version-" + version, body.path("text").asText(), invocation)
                .map(document -> document.withVersion(version));
    }
}
