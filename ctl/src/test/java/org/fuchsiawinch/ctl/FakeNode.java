package org.fuchsiawinch.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.DocumentLedger;
import org.fuchsiawinch.document.ledger.LedgerOutcome;
import org.fuchsiawinch.document.ledger.LedgerRecord;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.fuchsiawinch.document.ledger.LedgerStep;
import org.fuchsiawinch.document.ledger.SectionSigner;

/**
 * Fake node with a document ledger in memory. A test can change the document between a client's read and its proposal,
 * as a concurrent client would.
 */
final class FakeNode implements ControlApi {

    private static final Path SAMPLE = Path.of("..", "samples", "lagilagi");

    private DocumentLedger ledger = DocumentLedger.atLogStart();
    private long offset;
    private final List<Runnable> beforeProposals = new ArrayList<>();

    FakeNode() {
        this(true);
    }

    FakeNode(boolean withDocument) {
        if (!withDocument) {
            return;
        }
        append(new LedgerRecord.Founding(read(SAMPLE.resolve("document.yaml"))));
    }

    static String read(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    Document current() {
        return ledger.current().orElseThrow();
    }

    LedgerOutcome append(LedgerRecord record) {
        LedgerStep step = ledger.apply(offset++, record);
        ledger = step.ledger();
        return step.outcome();
    }

    void changeSection(String team, Section section, String from, String to) {
        Path key = SAMPLE.resolve("keys").resolve(team + ".sample.pem");
        String text = current().sectionTexts().get(section).replace(from, to);
        append(SectionSigner.ofPem(team, read(key)).sign(team, current(), section, text));
    }

    void beforeNextProposal(Runnable action) {
        beforeProposals.add(action);
    }

    @Override
    public ApiReply read(String path) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        if (path.equals("/v1/document")) {
            body.put("version", current().version());
            body.put("digest", current().digest()).put("text", current().text());
            return new ApiReply(200, body);
        }
        if (path.equals("/v1/jobs")) {
            body.putArray("jobs").addObject().put("job", "plans-1").put("state", "waiting");
            return new ApiReply(200, body);
        }
        body.put("error", "NOT_FOUND").put("message", "no such path: " + path);
        return new ApiReply(404, body);
    }

    @Override
    public ApiReply sendText(String path, String text) {
        LedgerOutcome outcome = append(new LedgerRecord.Founding(text));
        ObjectNode reply = JsonNodeFactory.instance.objectNode();
        if (outcome instanceof LedgerOutcome.Accepted accepted) {
            return new ApiReply(200, reply.put("outcome", "accepted").put("version", accepted.version()));
        }
        return new ApiReply(409, reply.put("error", "ALREADY_FOUNDED"));
    }

    @Override
    public ApiReply send(String path, JsonNode body) {
        if (!beforeProposals.isEmpty()) {
            beforeProposals.remove(0).run();
        }
        Proposal proposal = new Proposal(
                body.path("team").asText(),
                Section.ofKey(body.path("section").asText()).orElseThrow(),
                body.path("baseVersion").asInt(),
                body.path("text").asText(),
                body.path("signature").asText());
        LedgerOutcome outcome = append(proposal);
        ObjectNode reply = JsonNodeFactory.instance.objectNode();
        if (outcome instanceof LedgerOutcome.Accepted accepted) {
            return new ApiReply(200, reply.put("outcome", "accepted").put("version", accepted.version()));
        }
        reply.put("error", outcome.getClass().getSimpleName());
        return new ApiReply(outcome instanceof LedgerOutcome.Conflict ? 409 : 422, reply);
    }
}
