package standins3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** HTTP server on a loopback port; each request has a thread, so that handlers may wait. */
final class Http implements AutoCloseable {

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
    }

    /** Handles a request. */
    interface Handler {
        /** Returns the answer; null to close the connection without one. */
        Answer handle(Call call) throws InterruptedException;
    }

    /** A request. */
    record Call(String method, String path, String query, String instance, byte[] body) {

        /** Returns a parameter of the query, or a default. */
        String parameter(String name, String otherwise) {
            for (String pair : (query == null ? "" : query).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                            pair.substring(name.length() + 1), java.nio.charset.StandardCharsets.UTF_8);
                }
            }
            return otherwise;
        }

        JsonNode json() {
            return JsonNode.parse(new String(body, java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    /** An answer. */
    record Answer(int status, byte[] body) {

        static Answer of(int status) {
            return new Answer(status, new byte[0]);
        }

        static Answer of(int status, JsonNode json) {
            return new Answer(status, json.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "standin");
        thread.setDaemon(true);
        return thread;
    });

    /** Binds a port; 0 for any free one. */
    Http(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
        server.setExecutor(threads);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String instance = exchange.getRequestHeaders().getFirst("X-Fuchsiawinch-Expected-Instance");
            Answer answer = handler.handle(new Call(
                    exchange.getRequestMethod(),
                    exchange.getRequestURI().getPath(),
                    exchange.getRequestURI().getRawQuery(),
                    instance == null ? "" : instance,
                    body));
            if (answer == null) {
                return;
            }
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
            if (answer.body().length > 0) {
                exchange.getResponseBody().write(answer.body());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
