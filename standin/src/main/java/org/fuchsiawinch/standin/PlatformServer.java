package org.fuchsiawinch.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;
import org.fuchsiawinch.standin.log.LogStore;
import org.fuchsiawinch.standin.worker.PayloadRunPlanner;
import org.fuchsiawinch.standin.worker.RunCounter;
import org.fuchsiawinch.standin.worker.RunPlanner;
import org.fuchsiawinch.standin.worker.WorkerMachine;
import org.fuchsiawinch.wire.CodecException;
import org.fuchsiawinch.wire.JsonCodec;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves the stand-in log, list of workers and workers over HTTP, with switches that bring about outages. Thread-safe;
 * bound by {@link #start} until the returned server is disposed.
 */
public final class PlatformServer {

    private static final Duration POLL_EVERY = Duration.ofMillis(20);
    private static final int READ_LIMIT = 512;

    /** How the stand-in log behaves. */
    public enum LogMode {
        /** Takes and gives records. */
        UP,
        /** Refuses appends and reads. */
        DOWN,
        /** Takes records, but answers appends with a failure. */
        LOSES_ANSWERS
    }

    private final String host;
    private final int port;
    private final LogStore log;
    private final LongSupplier clock;
    private final JsonCodec codec = new JsonCodec();
    private final Map<WorkerId, WorkerMachine> workers = new TreeMap<>();
    private final RunCounter runs = new RunCounter();
    private final AtomicReference<LogMode> logMode = new AtomicReference<>(LogMode.UP);

    /**
     * Creates the server.
     *
     * @param host IP address to listen on
     * @param port TCP port
     * @param log the log
     * @param specs the workers
     * @param clock present time in ms since the epoch
     */
    public PlatformServer(String host, int port, LogStore log, List<WorkerSpec> specs, LongSupplier clock) {
        this.host = host;
        this.port = port;
        this.log = log;
        this.clock = clock;
        RunPlanner runPlanner = runs.counting(new PayloadRunPlanner());
        specs.forEach(spec -> workers.put(spec.id(), new WorkerMachine(spec, runPlanner)));
    }

    /**
     * Binds the port.
     *
     * @return the running server
     */
    public DisposableServer start() {
        return HttpServer.create().host(host).port(port).route(this::routes).bindNow();
    }

    private void routes(HttpServerRoutes routes) {
        routes.post("/log/records", (request, response) -> respond(request, response, this::append))
                .get("/log/records", this::read)
                .get("/workers", (request, response) -> send(response, 200, codec.encode(workerList())))
                .post("/workers/{id}/commands", this::command)
                .get("/control/runs", (request, response) -> send(response, 200, codec.encode(runs.runs())))
                .get("/control/usage", (request, response) -> send(response, 200, codec.encode(usage())))
                .post("/control/log/{mode}", this::switchLog)
                .post("/control/workers/{id}/leave", this::leave);
    }

    private byte[] append(byte[] body) {
        PlatformMessages.AppendRequest request = codec.decode(body, PlatformMessages.AppendRequest.class);
        if (logMode.get() == LogMode.DOWN) {
            throw new UnavailableException();
        }
        long first = log.append(request.records(), clock.getAsLong());
        if (logMode.get() == LogMode.LOSES_ANSWERS) {
            throw new UnavailableException();
        }
        return codec.encode(new PlatformMessages.AppendResponse(first));
    }

    private Mono<Void> read(HttpServerRequest request, HttpServerResponse response) {
        if (logMode.get() == LogMode.DOWN) {
            return send(response, 503, new byte[0]);
        }
        long from = number(request, "from");
        long untilMs = clock.getAsLong() + number(request, "waitMs");
        return poll(from, untilMs).flatMap(slice -> send(response, 200, codec.encode(slice)));
    }

    private Mono<PlatformMessages.ReadResponse> poll(long from, long untilMs) {
        LogStore.Slice slice = log.read(from, READ_LIMIT, clock.getAsLong());
        if (!slice.records().isEmpty() || clock.getAsLong() >= untilMs || logMode.get() == LogMode.DOWN) {
            return Mono.just(new PlatformMessages.ReadResponse(
                    slice.firstOffset(), slice.startOffset(), slice.nextOffset(), slice.records()));
        }
        return Mono.delay(POLL_EVERY).flatMap(tick -> poll(from, untilMs));
    }

    private PlatformMessages.WorkerList workerList() {
        return new PlatformMessages.WorkerList(workers.values().stream()
                .map(worker -> new PlatformMessages.ListedWorker(
                        worker.spec(),
                        "http://" + host + ":" + port + "/workers/"
                                + worker.spec().id() + "/commands",
                        worker.leaving()))
                .toList());
    }

    private PlatformMessages.UsageList usage() {
        return new PlatformMessages.UsageList(workers.values().stream()
                .map(worker -> {
                    synchronized (worker) {
                        worker.advance(clock.getAsLong());
                        return new PlatformMessages.WorkerUsage(
                                worker.spec(),
                                worker.used(),
                                worker.used().fitsIn(worker.spec().capacity()));
                    }
                })
                .toList());
    }

    private Mono<Void> command(HttpServerRequest request, HttpServerResponse response) {
        WorkerMachine worker = workers.get(new WorkerId(request.param("id")));
        if (worker == null) {
            return send(response, 404, new byte[0]);
        }
        return respond(request, response, body -> {
            WorkerCommand command = codec.decode(body, WorkerCommand.class);
            synchronized (worker) {
                WorkerReply reply = worker.handle(command, clock.getAsLong());
                return codec.encode(reply);
            }
        });
    }

    private Mono<Void> switchLog(HttpServerRequest request, HttpServerResponse response) {
        String name = request.param("mode").toUpperCase(Locale.ROOT).replace('-', '_');
        for (LogMode mode : LogMode.values()) {
            if (mode.name().equals(name)) {
                logMode.set(mode);
                return send(response, 200, name.getBytes(StandardCharsets.UTF_8));
            }
        }
        return send(response, 404, new byte[0]);
    }

    private Mono<Void> leave(HttpServerRequest request, HttpServerResponse response) {
        WorkerMachine worker = workers.get(new WorkerId(request.param("id")));
        if (worker == null) {
            return send(response, 404, new byte[0]);
        }
        synchronized (worker) {
            worker.leaving(true);
        }
        return send(response, 200, new byte[0]);
    }

    private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response, Handler handler) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> answer(response, () -> handler.handle(body)));
    }

    private static Mono<Void> answer(HttpServerResponse response, Supplier<byte[]> body) {
        try {
            return send(response, 200, body.get());
        } catch (UnavailableException e) {
            return send(response, 503, new byte[0]);
        } catch (CodecException e) {
            return send(response, 400, e.getMessage().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Mono<Void> send(HttpServerResponse response, int status, byte[] body) {
        return response.status(status).sendByteArray(Mono.just(body)).then();
    }

    private static long number(HttpServerRequest request, String name) {
        String marker = name + "=";
        String uri = request.uri();
        int at = uri.indexOf(marker);
        if (at < 0) {
            return 0;
        }
        int end = uri.indexOf('&', at);
        return Long.parseLong(uri.substring(at + marker.length(), end < 0 ? uri.length() : end));
    }

    /** Handles a body. */
    @FunctionalInterface
    private interface Handler {

        byte[] handle(byte[] body);
    }

    /** The log is switched off. */
    private static final class UnavailableException extends RuntimeException {

        private static final long serialVersionUID = 1L;
    }
}
