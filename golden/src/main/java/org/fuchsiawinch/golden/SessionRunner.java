package org.fuchsiawinch.golden;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.LedgerRecord;
import org.fuchsiawinch.document.ledger.SectionSigner;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/** Runs one session: three nodes, the log and the site's workers on a virtual clock. Not thread-safe; for one use. */
final class SessionRunner {

    /** Time in ms since the Unix epoch at which every session starts. */
    static final long SESSION_START_MS = 1_750_000_000_000L;

    private static final int NODE_COUNT = 3;
    /** Virtual time in ms at which the first document is sent to node 0. */
    private static final long FOUNDING_MS = 500;

    private final Session session;
    private final SampleFiles samples;
    private final EventQueue queue = new EventQueue();
    private final Transcript transcript = new Transcript();
    private final Observations observations = new Observations();
    private final GoldenLog log = new GoldenLog(queue, transcript);
    private final List<GoldenNode> nodes = new ArrayList<>();
    private final Map<String, GoldenWorker> workers = new TreeMap<>();
    private long lastRequestId;

    SessionRunner(Session session, SampleFiles samples) {
        this.session = session;
        this.samples = samples;
        for (WorkerSpec spec : session.site().workers()) {
            workers.put(spec.id().value(), new GoldenWorker(spec, this));
        }
        for (int index = 0; index < NODE_COUNT; index++) {
            nodes.add(new GoldenNode(index, this));
        }
    }

    /** Runs the session to its end and checks its expectations. */
    SessionResult run() {
        transcript.addLine(
                "session=" + session.name() + " site=" + session.site().name() + " workers=" + workers.size()
                        + " nodes=" + NODE_COUNT + " end=" + session.endMs());
        nodes.forEach(GoldenNode::start);
        scheduleAt(FOUNDING_MS, this::foundDocument);
        session.script().accept(this);
        queue.runUntil(session.endMs());
        transcript.addCounts();
        List<String> unmet = new ArrayList<>();
        for (Expectation expectation : session.expectations()) {
            Optional<String> difference = expectation.difference().apply(observations);
            transcript.addLine("expect " + expectation.text() + " met=" + difference.isEmpty());
            difference.ifPresent(
                    observed -> unmet.add(session.name() + ": " + expectation.text() + ", but " + observed));
        }
        return new SessionResult(transcript.text(), unmet);
    }

    /** Schedules a step of the script at a virtual time in ms, as all methods with a parameter {@code atMs} do. */
    void scheduleAt(long timeMs, Runnable step) {
        queue.scheduleAt(timeMs, step);
    }

    /** Schedules the submission of a job; a persistent caller repeats its request until it has the outcome. */
    void submit(long atMs, String caller, int node, JobSpec job, String payload, boolean persistent) {
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        scheduleAt(atMs, () -> new Caller(this, caller, node, job, bytes, persistent).submit());
    }

    /** Schedules the cancellation of a job. */
    void cancel(long atMs, String caller, int node, String job) {
        scheduleAt(
                atMs,
                () -> sendRequest(
                        caller,
                        node,
                        "job-cancel",
                        "job=" + job,
                        id -> new NodeInput.JobCancel(id, new JobId(job)),
                        reply -> {}));
    }

    /** Schedules one look-up of a job without waiting for its outcome. */
    void lookUp(long atMs, String caller, int node, String job) {
        scheduleAt(
                atMs,
                () -> sendRequest(
                        caller,
                        node,
                        "job-lookup",
                        "job=" + job + " wait-ms=0",
                        id -> new NodeInput.JobLookup(id, new JobId(job), 0),
                        reply -> {}));
    }

    /** Schedules a team's signed proposal that edits a section of the document in force on the receiving node. */
    void propose(long atMs, String team, int node, Section section, UnaryOperator<String> edit) {
        proposeAs(team, atMs, team, node, section, edit);
    }

    /** Schedules a proposal as {@link #propose} does, under an operator's name that keeps its replies apart. */
    void proposeAs(String operator, long atMs, String team, int node, Section section, UnaryOperator<String> edit) {
        scheduleAt(atMs, () -> {
            Document base = nodes.get(node).documentFold().document().orElseThrow();
            SectionSigner signer =
                    SectionSigner.ofPem(team, samples.key(session.site().name(), team));
            String text = edit.apply(base.sectionTexts().get(section));
            LedgerRecord.Proposal signed = signer.sign(team, base, section, text);
            LogRecord record = new LogRecord.DocumentProposed(
                    team, section.key(), signed.baseVersion(), signed.sectionText(), signed.signature());
            sendDocumentChange(operator, node, record);
        });
    }

    /** Schedules an outage of the log for a period in ms. */
    void logOutage(long atMs, long forMs) {
        scheduleFault(atMs, "log", "outage", "for-ms=" + forMs, () -> log.startOutage(forMs));
    }

    /** Schedules the loss of the answer to a node's next append that contains a record of a type. */
    void loseNextAnswer(long atMs, int node, Class<? extends LogRecord> type) {
        scheduleAt(atMs, () -> log.loseNextAnswer(nodes.get(node).name(), type));
    }

    /** Schedules a pause of a node's process for a period in ms. */
    void pause(long atMs, int node, long forMs) {
        scheduleFault(atMs, "n" + node, "paused", "for-ms=" + forMs, () -> nodes.get(node)
                .pause(forMs));
    }

    /** Schedules the drain of a node by an operator. */
    void drain(long atMs, int node) {
        scheduleAt(atMs, () -> {
            transcript.addExchange(
                    queue.nowMs(),
                    "operator",
                    "n" + node,
                    "drain",
                    "open-requests=" + nodes.get(node).openRequests() + " owner="
                            + nodes.get(node).ownsCell());
            nodes.get(node).deliver(new NodeInput.Drain());
        });
    }

    /** Sends a request to a node and passes the reply to {@code answer}. */
    void sendRequest(
            String party,
            int index,
            String kind,
            String details,
            LongFunction<NodeInput> input,
            Consumer<NodeReply> answer) {
        lastRequestId++;
        long id = lastRequestId;
        long delayMs = session.site().clientMs();
        GoldenNode node = nodes.get(index);
        transcript.addExchange(queue.nowMs(), party, node.name(), kind, "request=" + id + " " + details);
        queue.scheduleAfter(
                delayMs,
                () -> node.sendRequest(
                        id,
                        input.apply(id),
                        reply -> queue.scheduleAfter(delayMs, () -> {
                            String replyDetails = ("request=" + id + " " + MessageFormatter.reply(reply)).strip();
                            transcript.addExchange(
                                    queue.nowMs(),
                                    node.name(),
                                    party,
                                    "reply-" + MessageFormatter.kind(reply),
                                    replyDetails);
                            observations.recordReply(party, queue.nowMs(), reply);
                            answer.accept(reply);
                        })));
    }

    /** Delivers a command to its worker and the reply back to the node. */
    void sendCommand(GoldenNode node, NodeEffect.Command effect) {
        GoldenWorker worker = workers.get(effect.worker().value());
        long delayMs = session.site().workerMs();
        queue.scheduleAfter(delayMs, () -> {
            WorkerReply reply = worker.handle(effect.command());
            queue.scheduleAfter(
                    delayMs,
                    () -> node.handleWorkerReply(new NodeInput.WorkerReplied(
                            effect.worker(), effect.command().epoch(), reply)));
        });
    }

    /** Returns the platform's list of workers as an input of a node. */
    NodeInput.WorkersListed workerList() {
        return new NodeInput.WorkersListed(session.site().workers(), List.of());
    }

    /** Returns the index of the next running node after a node; at least one node has to be running. */
    int nextRunningNode(int index) {
        int next = (index + 1) % NODE_COUNT;
        while (!nodes.get(next).running()) {
            next = (next + 1) % NODE_COUNT;
        }
        return next;
    }

    /** Returns the time in ms since the Unix epoch on the clock that all nodes and workers share. */
    long clockMs() {
        return SESSION_START_MS + queue.nowMs();
    }

    EventQueue queue() {
        return queue;
    }

    GoldenLog log() {
        return log;
    }

    Transcript transcript() {
        return transcript;
    }

    Observations observations() {
        return observations;
    }

    private void foundDocument() {
        sendDocumentChange(
                "office",
                0,
                new LogRecord.DocumentFounded(samples.document(session.site().name())));
    }

    private void sendDocumentChange(String operator, int node, LogRecord record) {
        sendRequest(
                operator,
                node,
                MessageFormatter.kind(record),
                MessageFormatter.record(record),
                id -> new NodeInput.DocumentChange(id, record),
                reply -> {});
    }

    private void scheduleFault(long atMs, String party, String kind, String details, Runnable action) {
        scheduleAt(atMs, () -> {
            transcript.addExchange(queue.nowMs(), "platform", party, kind, details);
            action.run();
        });
    }
}
