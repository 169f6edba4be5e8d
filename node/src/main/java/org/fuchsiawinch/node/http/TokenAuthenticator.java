package org.fuchsiawinch.node.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.function.Supplier;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.model.WorkspaceId;
import reactor.netty.http.server.HttpServerRequest;

/** Identifies callers and operators by their bearer tokens. Thread-safe. */
final class TokenAuthenticator {

    private static final String SCHEME = "Bearer ";

    private final Supplier<Optional<Document>> document;
    private final String foundingToken;

    TokenAuthenticator(Supplier<Optional<Document>> document, String foundingToken) {
        this.document = document;
        this.foundingToken = foundingToken;
    }

    Optional<WorkspaceId> workspace(HttpServerRequest request) {
        return token(request).flatMap(token -> document.get()
                .flatMap(inForce -> inForce.access().workspaceOf(token)));
    }

    Optional<String> operator(HttpServerRequest request) {
        return token(request).flatMap(token -> document.get()
                .flatMap(inForce -> inForce.access().operatorOf(token)));
    }

    boolean mayFoundDocument(HttpServerRequest request) {
        byte[] expected = foundingToken.getBytes(StandardCharsets.UTF_8);
        return !foundingToken.isEmpty()
                && token(request)
                        .filter(token -> MessageDigest.isEqual(token.getBytes(StandardCharsets.UTF_8), expected))
                        .isPresent();
    }

    private static Optional<String> token(HttpServerRequest request) {
        return Optional.ofNullable(request.requestHeaders().get("Authorization"))
                .filter(header -> header.startsWith(SCHEME))
                .map(header -> header.substring(SCHEME.length()).trim());
    }
}
