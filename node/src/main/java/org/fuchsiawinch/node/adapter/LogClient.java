package org.fuchsiawinch.node.adapter;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.runtime.EventLog;
import org.fuchsiawinch.wire.CodecException;
import org.fuchsiawinch.wire.JsonCodec;
import org.fuchsiawinch.wire.PlatformMessages;
import org.fuchsiawinch.wire.RecordCodec;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Appends to the platform's log and reads it. Appends do not block; {@link #follow} blocks and needs a thread of its
 * own.
 */
public final class LogClient {

    private static final EventLog LOG = new EventLog(LogClient.class);
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_WAIT_MS = 500;
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final long RETRY_DELAY_MS = 200;
    private static final int MAX_READ_BYTES = 64 * 1024 * 1024;

    private final HttpClient client;
    private final Consumer<NodeInput> inputs;
    private final RecordCodec records = new RecordCodec();
    private final JsonCodec json = new JsonCodec();

    /**
     * Creates a client.
     *
     * @param platformUrl URL of the platform's services
     * @param inputs receives the records and the results of appends
     */
    public LogClient(String platformUrl, Consumer<NodeInput> inputs) {
        this.client = HttpClient.create().baseUrl(platformUrl);
        this.inputs = inputs;
    }

    /**
     * Appends a batch and reports the result as an input; a missing reply is reported as a failure.
     *
     * @param append the batch
     */
    public void append(NodeEffect.Append append) {
        long firstSequence = append.batch().get(0).id().sequence();
        List<byte[]> encoded = append.batch().stream().map(records::encode).toList();
        byte[] body = json.encode(new PlatformMessages.AppendRequest(encoded));
        client.responseTimeout(APPEND_TIMEOUT)
                .post()
                .uri("/log/records")
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle((response, content) -> content.asByteArray()
                        .thenReturn(response.status().code())
                        .defaultIfEmpty(response.status().code()))
                .timeout(APPEND_TIMEOUT)
                .subscribe(
                        status -> inputs.accept(
                                status == 200
                                        ? new NodeInput.AppendDone(firstSequence)
                                        : new NodeInput.AppendFailed(firstSequence)),
                        error -> inputs.accept(new NodeInput.AppendFailed(firstSequence)));
    }

    /** Reads the log from its start and passes on every record, until the thread is interrupted. */
    public void follow() {
        long nextOffset = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                nextOffset = readOnce(nextOffset);
            } catch (RuntimeException e) {
                if (!sleepBeforeRetry()) {
                    return;
                }
            }
        }
    }

    private long readOnce(long from) {
        byte[] body = client.responseTimeout(READ_TIMEOUT)
                .get()
                .uri("/log/records?from=" + from + "&waitMs=" + POLL_WAIT_MS)
                .responseSingle((response, content) -> response.status().code() == 200
                        ? content.asByteArray()
                        : Mono.error(
                                new LogUnavailableException(response.status().code())))
                .block(READ_TIMEOUT);
        PlatformMessages.ReadResponse page = json.decode(body, PlatformMessages.ReadResponse.class);
        if (page.startOffset() > from) {
            inputs.accept(new NodeInput.LogGap(page.startOffset()));
        }
        long offset = page.startOffset();
        for (byte[] record : page.records()) {
            deliver(offset, record);
            offset++;
        }
        if (offset >= page.nextOffset()) {
            inputs.accept(new NodeInput.LogEndReached(offset));
        }
        return offset;
    }

    private void deliver(long offset, byte[] record) {
        Envelope envelope;
        try {
            envelope = records.decode(record);
        } catch (CodecException e) {
            LOG.warn("record_corrupt", "offset", offset, "error", e.getMessage());
            return;
        }
        inputs.accept(new NodeInput.RecordRead(offset, envelope));
    }

    private static boolean sleepBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
