package org.fuchsiawinch.node.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.node.records.BurnReportRecorder;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.runtime.MetricsText;
import org.fuchsiawinch.wire.PeerMessage;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Operators' API: document, workspaces, jobs, workers, nodes, report records, drain and metrics. Thread-safe. */
final class OperatorRoutes {

    private final NodeLoop loop;
    private final OpenRequests openRequests;
    private final TokenAuthenticator authenticator;
    private final Responder responder;
    private final Supplier<Optional<Document>> document;
    private final MetricRegistry metrics;
    private final NodeStatus status;
    private final BurnReportRecorder recorder;
    private final Supplier<List<PlatformMessages.ListedWorker>> workerList;
    private final Supplier<List<PeerMessage.NodeStatusMessage>> nodeList;

    OperatorRoutes(
            NodeLoop loop,
            OpenRequests openRequests,
            TokenAuthenticator authenticator,
            Responder responder,
            Supplier<Optional<Document>> document,
            MetricRegistry metrics,
            NodeStatus status,
            BurnReportRecorder recorder,
            Supplier<List<PlatformMessages.ListedWorker>> workerList,
            Supplier<List<PeerMessage.NodeStatusMessage>> nodeList) {
        this.loop = loop;
        this.openRequests = openRequests;
        this.authenticator = authenticator;
        this.responder = responder;
        this.document = document;
        this.metrics = metrics;
        this.status = status;
        this.recorder = recorder;
        this.workerList = workerList;
        this.nodeList = nodeList;
    }

    void register(HttpServerRoutes routes) {
        routes.get("/v1/document", (request, response) -> asOperator(request, response, this::currentDocument))
                .post("/v1/document", this::foundDocument)
                .get("/v1/document/history", (request, response) -> asOperator(request, response, this::history))
                .post("/v1/document/proposals", this::propose)
                .get("/v1/workspaces", (request, response) -> asOperator(request, response, this::workspaces))
                .get("/v1/jobs", this::jobs)
                .get("/v1/jobs/{id}/explain", this::explain)
                .get("/v1/workers", (request, response) -> asOperator(request, response, this::workers))
                .get("/v1/nodes", (request, response) -> asOperator(request, response, this::nodes))
                .get("/v1/records", this::records)
                .post("/v1/drain", (request, response) -> asOperator(request, response, this::drain))
                .get("/metrics", (request, response) -> responder.sendText(response, 200, MetricsText.render(metrics)))
                .get("/health", this::health);
    }

    private Mono<ApiResponse> currentDocument() {
        return Mono.just(document.get()
                .map(inForce ->
                        ApiResponse.ok(new Views.DocumentView(inForce.version(), inForce.digest(), inForce.text())))
                .orElse(ApiResponse.error(404, "NO_DOCUMENT", "no document is in force")));
    }

    private Mono<ApiResponse> history() {
        return loop.query((machine, nowMs) -> ApiResponse.ok(machine.fold().document().history().stream()
                .map(version -> new Views.HistoryView(
                        version.version(),
                        version.section().map(Section::key).orElse(""),
                        version.team(),
                        version.digest()))
                .toList()));
    }

    private Mono<Void> foundDocument(HttpServerRequest request, HttpServerResponse response) {
        if (!authenticator.mayFoundDocument(request)) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        return responder.withText(request, response, text -> change(new LogRecord.DocumentFounded(text)));
    }

    private Mono<Void> propose(HttpServerRequest request, HttpServerResponse response) {
        if (authenticator.operator(request).isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        return responder.withBody(request, response, Views.ProposalRequest.class, body -> {
            require("team", body.team());
            require("section", body.section());
            require("text", body.text());
            require("signature", body.signature());
            require("baseVersion", body.baseVersion());
            return change(new LogRecord.DocumentProposed(
                    body.team(), body.section(), body.baseVersion(), body.text(), body.signature()));
        });
    }

    private Mono<ApiResponse> change(LogRecord record) {
        return openRequests
                .submit(loop, id -> new NodeInput.DocumentChange(id, record))
                .map(this::changeResponse);
    }

    private ApiResponse changeResponse(NodeReply reply) {
        if (!(reply instanceof NodeReply.DocumentJudged judged)) {
            return ApiResponse.of(reply);
        }
        if (judged.refusal().isEmpty()) {
            return ApiResponse.ok(new Views.AcceptedView("accepted", judged.version()));
        }
        DocumentFold.Refusal refusal = judged.refusal().get();
        String text = document.get().map(Document::text).orElse("");
        return switch (refusal.code()) {
            case CONFLICT, ALREADY_FOUNDED, NOT_FOUNDED, NOT_IN_FORCE, UNDECIDED ->
                new ApiResponse(
                        409, new Views.ConflictView(refusal.code().name(), refusal.detail(), judged.version(), text));
            case NOT_OWNER, BAD_SIGNATURE ->
                ApiResponse.error(403, refusal.code().name(), refusal.detail());
            case INVALID -> ApiResponse.error(422, refusal.code().name(), refusal.detail());
        };
    }

    private Mono<ApiResponse> workspaces() {
        return loop.query((machine, nowMs) -> ApiResponse.ok(machine.fold().document().inForce().stream()
                .flatMap(inForce -> inForce.policy().workspaces().entrySet().stream())
                .map(entry -> workspace(entry.getKey(), entry.getValue(), machine))
                .sorted((a, b) -> a.workspace().compareTo(b.workspace()))
                .toList()));
    }

    private static Views.WorkspaceView workspace(WorkspaceId id, WorkspacePolicy policy, NodeMachine machine) {
        int guaranteed = policy.guarantees().stream()
                .mapToInt(guarantee -> guarantee.count() * guarantee.shape().accelerators())
                .sum();
        return new Views.WorkspaceView(
                id.value(),
                guaranteed,
                policy.acceleratorQuota(),
                count(machine, id, JobStatus.WAITING),
                count(machine, id, JobStatus.PLACED) + count(machine, id, JobStatus.RELEASED),
                count(machine, id, JobStatus.FINISHED));
    }

    private static long count(NodeMachine machine, WorkspaceId workspace, JobStatus wanted) {
        return machine.fold().jobs().stream()
                .filter(job -> job.spec().workspace().equals(workspace) && job.status() == wanted)
                .count();
    }

    private Mono<Void> jobs(HttpServerRequest request, HttpServerResponse response) {
        boolean operator = authenticator.operator(request).isPresent();
        Optional<WorkspaceId> workspace = authenticator.workspace(request);
        if (!operator && workspace.isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        return responder.send(
                response,
                loop.query((machine, nowMs) -> ApiResponse.ok(machine.fold().jobs().stream()
                        .filter(job ->
                                operator || workspace.get().equals(job.spec().workspace()))
                        .map(Views.JobView::of)
                        .toList())));
    }

    private Mono<ApiResponse> workers() {
        return Mono.fromSupplier(() -> ApiResponse.ok(workerList.get().stream()
                .map(worker -> Views.WorkerView.of(worker.worker(), worker.leaving()))
                .toList()));
    }

    private Mono<Void> explain(HttpServerRequest request, HttpServerResponse response) {
        String id = request.param("id");
        if (authenticator.operator(request).isPresent()) {
            return responder.send(response, Mono.defer(() -> explainJob(new JobId(id))));
        }
        return responder.send(
                response,
                authenticator
                        .workspace(request)
                        .map(workspace -> Mono.defer(() -> explainJob(Views.jobId(workspace, id))))
                        .orElse(Mono.just(unknownToken())));
    }

    private Mono<ApiResponse> explainJob(JobId id) {
        return loop.query((machine, nowMs) -> machine.fold()
                .job(id)
                .map(job -> ApiResponse.ok(explanation(machine, job, nowMs)))
                .orElse(ApiResponse.error(404, "UNKNOWN_JOB", "no such job")));
    }

    private Views.ExplainView explanation(NodeMachine machine, JobEntry job, long nowMs) {
        Optional<Reason> reason = machine.waitReason(job.spec().id(), nowMs)
                .or(() -> machine.lastReason(job.spec().id()));
        Optional<NodeId> owner = machine.fold().cell(job.cell()).owner();
        return new Views.ExplainView(
                job.spec().id().value(),
                job.status().name(),
                reason.map(known -> known.code().name())
                        .or(() -> Views.JobView.of(job).reason()),
                reason.map(Reason::priceMicros).orElse(0L),
                reason.map(Reason::estimatedRunMs).orElse(0L),
                reason.map(Reason::correctionFactor).orElse(1.0),
                reason.flatMap(Reason::alternative)
                        .map(other -> other.code() + " at " + other.priceMicros() + " micros after " + other.delayMs()
                                + " ms"),
                job.placements().stream()
                        .map(placement -> placement.worker().value())
                        .toList(),
                owner.map(NodeId::value));
    }

    private Mono<ApiResponse> nodes() {
        List<PeerMessage.NodeStatusMessage> known = nodeList.get();
        if (!known.isEmpty()) {
            return Mono.just(
                    ApiResponse.ok(known.stream().map(NodeStatus.NodeView::of).toList()));
        }
        return loop.query((machine, nowMs) -> ApiResponse.ok(List.of(status.view(machine))));
    }

    private Mono<Void> records(HttpServerRequest request, HttpServerResponse response) {
        if (authenticator.operator(request).isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        return Responder.onEventLoop(response, loop.query((machine, nowMs) -> recorder.lines(machine.fold())))
                .flatMap(lines -> responder.sendText(response, 200, lines));
    }

    private Mono<ApiResponse> drain() {
        return Mono.fromSupplier(() -> {
            status.requestDrain();
            return new ApiResponse(202, new Views.AcceptedView("draining", 0));
        });
    }

    private Mono<Void> health(HttpServerRequest request, HttpServerResponse response) {
        return status.draining()
                ? responder.sendText(response, 503, "draining\n")
                : responder.sendText(response, 200, "ok\n");
    }

    private Mono<Void> asOperator(
            HttpServerRequest request, HttpServerResponse response, Supplier<Mono<ApiResponse>> handler) {
        if (authenticator.operator(request).isEmpty()) {
            return responder.send(response, Mono.just(unknownToken()));
        }
        return responder.send(response, Mono.defer(handler));
    }

    private static void require(String field, Object value) {
        if (value == null) {
            throw new InvalidFieldException(field);
        }
    }

    private static ApiResponse unknownToken() {
        return ApiResponse.error(401, "UNKNOWN_TOKEN", "the bearer token is not an operator's");
    }
}
