package org.fuchsiawinch.ctl.command;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.document.Document;

/** Fetches the document in force. Stateless. */
final class DocumentResource {

    static final String PATH = "/v1/document";

    private DocumentResource() {}

    /**
     * Parses a node's reply.
     *
     * @param reply reply to a read of the document
     * @param invocation the call; takes the problems of a text that this program cannot read
     * @return the document with its version, or empty if the text has problems
     */
    static Optional<Document> parse(ApiReply reply, Invocation invocation) {
        JsonNode body = reply.body();
        int version = body.path("version").asInt();
        return InputFiles.parseDocument("version-" + version, body.path("text").asText(), invocation)
                .map(document -> document.withVersion(version));
    }
}
