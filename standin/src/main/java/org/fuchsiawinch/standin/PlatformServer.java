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
 * Serves the stand-in log, list of workers and workers over HTTP, with control paths that inject outages. Thread-safe;
 * bound by {@link #start} until the returned server is disposed.
 */
public final class PlatformServer {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int MAX_READ_RECORDS = 512;

    /** Behaviour of the stand-in log; a mode's name is part of the control path. */
    public enum LogMode {
        /** Accepts appends and serves reads. */
        UP,
        /** Answers appends and reads with HTTP status 503. */
        DOWN,
        /** Stores the records of an append, but answers it with HTTP status 503. */
        LOSES_ANSWERS
    }

    private final String host;
    private final int port;
    private final LogStore log;
    private final LongSupplier clock;
    private final JsonCodec codec = new JsonCodec();
    private final Map<WorkerId, WorkerMachine> workers = new TreeMap<>();
    private final RunCounter runCounter = new RunCounter();
    private final AtomicReference<LogMode> logMode = new AtomicReference<>(LogMode.UP);

    /**
     * Creates the server.
     *
     * @param host IP address to listen on
     * @param port TCP port
     * @param log store of the log's records
     * @param specs specifications of the workers
     * @param clock supplies the present time in ms since the Unix epoch
     */
    public PlatformServer(String host, int port, LogStore log, List<WorkerSpec> specs, LongSupplier clock) {
        this.host = host;
        this.port = port;
        this.log = log;
        this.clock = clock;
        RunPlanner runPlanner = runCounter.counting(new PayloadRunPlanner());
        specs.forEach(spec -> workers.put(spec.id(), new WorkerMachine(spec, runPlanner)));
    }

    /**
     * Binds the port and starts to serve. Throws an unchecked exception if the port is in use.
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
                .get("/control/runs", (request, response) -> send(response, 200, codec.encode(runCounter.runs())))
                .get("/control/usage", (request, response) -> send(response, 200, codec.encode(usage())))
                .post("/control/log/{mode}", this::setLogMode)
                .post("/control/workers/{id}/leave", this::markLeaving);
    }

    private byte[] append(byte[] body) {
        PlatformMessages.AppendRequest request = codec.decode(body, PlatformMessages.AppendRequest.class);
        if (logMode.get() == LogMode.DOWN) {
            throw new LogUnavailableException();
        }
        long first = log.append(request.records(), clock.getAsLong());
        if (logMode.get() == LogMode.LOSES_ANSWERS) {
            throw new LogUnavailableException();
        }
        return codec.encode(new PlatformMessages.AppendResponse(first));
    }

    private Mono<Void> read(HttpServerRequest request, HttpServerResponse response) {
        if (logMode.get() == LogMode.DOWN) {
            return send(response, 503, new byte[0]);
        }
        long from = queryParameter(request, "from");
        long untilMs = clock.getAsLong() + queryParameter(request, "waitMs");
        return poll(from, untilMs).flatMap(slice -> send(response, 200, codec.encode(slice)));
    }

    private Mono<PlatformMessages.ReadResponse> poll(long from, long untilMs) {
        LogStore.Slice slice = log.read(from, MAX_READ_RECORDS, clock.getAsLong());
        if (!slice.records().isEmpty() || clock.getAsLong() >= untilMs || logMode.get() == LogMode.DOWN) {
            return Mono.just(new PlatformMessages.ReadResponse(
                    slice.firstOffset(), slice.startOffset(), slice.nextOffset(), slice.records()));
        }
        return Mono.delay(POLL_INTERVAL).flatMap(tick -> poll(from, untilMs));
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

    private Mono<Void> setLogMode(HttpServerRequest request, HttpServerResponse response) {
        String name = request.param("mode").toUpperCase(Locale.ROOT).replace('-', '_');
        for (LogMode mode : LogMode.values()) {
            if (mode.name().equals(name)) {
                logMode.set(mode);
                return send(response, 200, name.getBytes(StandardCharsets.UTF_8));
            }
        }
        return send(response, 404, new byte[0]);
    }

    private Mono<Void> markLeaving(HttpServerRequest request, HttpServerResponse response) {
        WorkerMachine worker = workers.get(new WorkerId(request.param("id")));
        if (worker == null) {
            return send(response, 404, new byte[0]);
        }
        synchronized (worker) {
            worker.leaving(true);
        }
        return send(response, 200, new byte[0]);
    }

    private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response, BodyHandler handler) {
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> sendResult(response, () -> handler.handle(body)));
    }

    private static Mono<Void> sendResult(HttpServerResponse response, Supplier<byte[]> body) {
        try {
            return send(response, 200, body.get());
        } catch (LogUnavailableException e) {
            return send(response, 503, new byte[0]);
        } catch (CodecException e) {
            return send(response, 400, e.getMessage().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static Mono<Void> send(HttpServerResponse response, int status, byte[] body) {
        return response.status(status).sendByteArray(Mono.just(body)).then();
    }

    private static long queryParameter(HttpServerRequest request, String name) {
        String marker = name + "=";
        String uri = request.uri();
        int at = uri.indexOf(marker);
        if (at < 0) {
            return 0;
        }
        int end = uri.indexOf('&', at);
        return Long.parseLong(uri.substring(at + marker.length(), end < 0 ? uri.length() : end));
    }

    /** Computes the response body for a request body. */
    @FunctionalInterface
    private interface BodyHandler {

        byte[] handle(byte[] body);
    }

    /** Thrown in the modes {@link LogMode#DOWN} and {@link LogMode#LOSES_ANSWERS}; answered with HTTP status 503. */
    private static final class LogUnavailableException extends RuntimeException {

        private static final long serialVersionUID = 1L;
    }
}
