package org.fuchsiawinch.quickstart;

import java.time.Duration;
import java.util.List;

import io.netty.buffer.Unpooled;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.ledger.LedgerRecord;
import org.fuchsiawinch.document.ledger.SectionSigner;
import org.fuchsiawinch.wire.JsonCodec;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Changes the spending section and measures the delay until each node has the change in force. Not thread-safe. */
final class DocumentChangeProbe {

    private static final String OPERATOR_TOKEN = "sample-token-operator";
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final List<String> nodes;
    private final SectionSigner signer;
    private final JsonCodec json = new JsonCodec();
    private final HttpClient client =
            HttpClient.create().headers(headers -> headers.set("Authorization", "Bearer " + OPERATOR_TOKEN));

    DocumentChangeProbe(List<String> nodes, String key) {
        this.nodes = List.copyOf(nodes);
        this.signer = SectionSigner.ofPem("key", key);
    }

    /**
     * Proposes one change and returns the delays in ms until it is in force on the nodes, in the order in which they
     * were seen to have it.
     *
     * @param number number of the change; written as a comment into the section, so that each change has another text
     */
    List<Long> measureChange(int number) {
        DocumentInForce before = readInForce(nodes.get(0)).block(TIMEOUT);
        Document base = ((DocumentResult.Accepted) new DocumentReader().read("document", before.text()))
                .document()
                .withVersion(before.version());
        String text = "# change " + number + "\n" + base.sectionTexts().get(Section.SPENDING);
        LedgerRecord.Proposal proposal = signer.sign("finance", base, Section.SPENDING, text);
        byte[] body = json.encode(new ProposalBody(
                proposal.team(),
                proposal.section().key(),
                proposal.baseVersion(),
                proposal.sectionText(),
                proposal.signature()));
        long startMs = System.currentTimeMillis();
        Mono<List<Long>> delays = Flux.fromIterable(nodes)
                .flatMap(node -> delayUntilInForce(node, before.version() + 1, startMs), nodes.size())
                .collectList();
        return propose(body).then(delays).block(TIMEOUT);
    }

    private Mono<Integer> propose(byte[] body) {
        return client.post()
                .uri(nodes.get(0) + "/v1/document/proposals")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle((response, content) -> content.asString()
                        .defaultIfEmpty("")
                        .flatMap(text -> response.status().code() == 200
                                ? Mono.just(200)
                                : Mono.error(new IllegalStateException(
                                        "node " + nodes.get(0) + " rejected the proposal with HTTP status "
                                                + response.status().code() + ": " + text))));
    }

    private Mono<Long> delayUntilInForce(String node, int version, long startMs) {
        return readInForce(node)
                .filter(document -> document.version() >= version)
                .repeatWhenEmpty(times -> times.delayElements(POLL_INTERVAL))
                .map(document -> System.currentTimeMillis() - startMs);
    }

    private Mono<DocumentInForce> readInForce(String node) {
        return client.get()
                .uri(node + "/v1/document")
                .responseSingle((response, content) -> content.asByteArray())
                .map(bytes -> json.decode(bytes, DocumentInForce.class));
    }

    /**
     * Document in force on a node.
     *
     * @param version version of the document
     * @param text whole text of the document
     */
    private record DocumentInForce(int version, String text) {}

    /**
     * Request body of a proposal.
     *
     * @param team name of the signing team
     * @param section name of the section
     * @param baseVersion document version that the change is based on
     * @param text new text of the section
     * @param signature Ed25519 signature, base64
     */
    private record ProposalBody(String team, String section, int baseVersion, String text, String signature) {}
}
