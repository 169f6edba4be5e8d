package org.fuchsiawinch.node.http;

import java.util.Optional;
import java.util.function.BiFunction;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.protocol.node.NodeInput;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Callers' API: submits, looks up and cancels jobs of the caller's workspace. Thread-safe. */
final class CallerRoutes {

    private static final long MAX_WAIT_MS = 600_000;

    private final NodeLoop loop;
    private final OpenRequests openRequests;
    private final TokenAuthenticator authenticator;
    private final Responder responder;

    CallerRoutes(NodeLoop loop, OpenRequests openRequests, TokenAuthenticator authenticator, Responder responder) {
        this.loop = loop;
        this.openRequests = openRequests;
        this.authenticator = authenticator;
        this.responder = responder;
    }

    void register(HttpServerRoutes routes) {
        routes.post("/v1/jobs", this::submit)
                .get("/v1/jobs/{key}", (request, response) -> withKey(request, response, this::lookUp))
                .delete("/v1/jobs/{key}", (request, response) -> withKey(request, response, this::cancel));
    }

    private Mono<Void> submit(HttpServerRequest request, HttpServerResponse response) {
        Optional<WorkspaceId> workspace = authenticator.workspace(request);
        if (workspace.isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        long waitMs = Responder.waitMs(request, MAX_WAIT_MS);
        return responder.withBody(request, response, Views.JobRequest.class, body -> {
            JobSpec job = body.spec(workspace.get());
            return openRequests
                    .submit(loop, id -> new NodeInput.JobSubmit(id, job, body.payloadBytes(), waitMs))
                    .map(ApiResponse::of);
        });
    }

    private Mono<ApiResponse> lookUp(HttpServerRequest request, JobId job) {
        long waitMs = Responder.waitMs(request, MAX_WAIT_MS);
        return openRequests
                .submit(loop, id -> new NodeInput.JobLookup(id, job, waitMs))
                .map(ApiResponse::of);
    }

    private Mono<ApiResponse> cancel(HttpServerRequest request, JobId job) {
        return openRequests.submit(loop, id -> new NodeInput.JobCancel(id, job)).map(ApiResponse::of);
    }

    private Mono<Void> withKey(
            HttpServerRequest request,
            HttpServerResponse response,
            BiFunction<HttpServerRequest, JobId, Mono<ApiResponse>> handler) {
        Optional<WorkspaceId> workspace = authenticator.workspace(request);
        if (workspace.isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        String key = request.param("key");
        return responder.send(response, Mono.defer(() -> handler.apply(request, Views.jobId(workspace.get(), key))));
    }

    private static ApiResponse unknownToken() {
        return ApiResponse.error(401, "UNKNOWN_TOKEN", "the bearer token is not in the document's access section");
    }
}
