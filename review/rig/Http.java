package rig;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** HTTP servers of the stand-ins, on loopback. */
public final class Http {

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "1000");
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
    }

    /** Below the ports of outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int LAST_PORT = 31_000;
    private static final Set<Integer> GIVEN = new HashSet<>();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });

    private Http() {}

    /** Answer of a stand-in; a null answer closes the connection without one. */
    public record Reply(int status, byte[] body) {

        public static Reply json(int status, Object value) {
            return new Reply(status, Json.write(value).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
    }

    /** Handles one request. */
    public interface Handler {

        Reply handle(HttpExchange exchange, byte[] body) throws Exception;
    }

    public static synchronized int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // In use by another process.
                GIVEN.add(port);
            }
        }
    }

    public static HttpServer listen(int port, Handler handler) throws IOException {
        HttpServer server = null;
        for (int tries = 0; server == null; tries++) {
            try {
                server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
            } catch (BindException e) {
                if (tries > 100) {
                    throw e;
                }
                try {
                    Thread.sleep(10);
                } catch (InterruptedException interrupted) {
                    throw new IOException(interrupted);
                }
            }
        }
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try (exchange) {
                byte[] body = exchange.getRequestBody().readAllBytes();
                Reply reply = handler.handle(exchange, body);
                if (reply == null) {
                    return;
                }
                exchange.getResponseHeaders().add("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
                if (reply.body().length > 0) {
                    exchange.getResponseBody().write(reply.body());
                }
            } catch (IOException e) {
                // The caller has gone.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        server.start();
        return server;
    }

    public static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new LinkedHashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        java.net.URLDecoder.decode(
                                part.substring(equals + 1), java.nio.charset.StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
