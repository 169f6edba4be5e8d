package org.fuchsiawinch.node.adapter;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;
import org.fuchsiawinch.wire.JsonCodec;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Sends commands to workers and polls the platform's list of workers. A connection that gets no response within the
 * timeout is closed, and the next command opens a new one. Thread-safe.
 */
public final class WorkerClient {

    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client;
    private final String platformUrl;
    private final Consumer<NodeInput> inputs;
    private final JsonCodec json = new JsonCodec();
    private final Map<WorkerId, String> urls = new ConcurrentHashMap<>();
    private final AtomicReference<List<PlatformMessages.ListedWorker>> lastList = new AtomicReference<>(List.of());

    /**
     * Creates a client.
     *
     * @param platformUrl URL of the platform's services
     * @param inputs receives the replies of workers and the lists of workers
     */
    public WorkerClient(String platformUrl, Consumer<NodeInput> inputs) {
        this.client = HttpClient.create().responseTimeout(COMMAND_TIMEOUT);
        this.platformUrl = platformUrl;
        this.inputs = inputs;
    }

    /**
     * Sends a command without waiting; a reply becomes an input, a missing reply is ignored.
     *
     * @param command the command
     */
    public void send(NodeEffect.Command command) {
        String url = urls.get(command.worker());
        if (url == null) {
            return;
        }
        byte[] body = json.encodeAs(command.command(), WorkerCommand.class);
        long epoch = command.command().epoch();
        client.post()
                .uri(url)
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(COMMAND_TIMEOUT)
                .subscribe(
                        answer -> inputs.accept(new NodeInput.WorkerReplied(
                                command.worker(), epoch, json.decode(answer, WorkerReply.class))),
                        error -> {
                            // the state machine repeats a command that gets no reply
                        });
    }

    /** Requests the list of workers once; after a failure the previous list stays. */
    public void poll() {
        client.get()
                .uri(platformUrl + "/workers")
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(LIST_TIMEOUT)
                .subscribe(this::handleList, error -> {
                    // the next poll requests the list again
                });
    }

    /**
     * Returns the last list of workers.
     *
     * @return the workers; empty before the first list was received
     */
    public List<PlatformMessages.ListedWorker> lastList() {
        return lastList.get();
    }

    private void handleList(byte[] body) {
        PlatformMessages.WorkerList list = json.decode(body, PlatformMessages.WorkerList.class);
        lastList.set(list.workers());
        list.workers().forEach(worker -> urls.put(worker.worker().id(), worker.url()));
        List<WorkerSpec> specs = list.workers().stream()
                .map(PlatformMessages.ListedWorker::worker)
                .toList();
        List<WorkerId> leaving = list.workers().stream()
                .filter(PlatformMessages.ListedWorker::leaving)
                .map(worker -> worker.worker().id())
                .toList();
        inputs.accept(new NodeInput.WorkersListed(specs, leaving));
    }
}
