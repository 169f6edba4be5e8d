package org.fuchsiawinch.node.stop;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;

/**
 * Caller on a raw socket that sends one request after the other on a connection until an answer announces its close,
 * and then, while told so, on a new one until the port refuses. Thread-safe.
 */
final class KeepAliveCaller {

    private static final int READ_TIMEOUT_MS = 20_000;
    private static final double NANOS_PER_MS = 1e6;

    private final int port;
    private final IntFunction<String> requests;
    private final long pauseMs;
    private final BooleanSupplier reconnects;
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>();
    private final Queue<Cut> cuts = new ConcurrentLinkedQueue<>();
    private volatile boolean refused;
    private final Thread thread = new Thread(this::run, "caller");

    /**
     * Creates a caller that is not started.
     *
     * @param port port of the node
     * @param requests creates the request of the given number, whole
     * @param pauseMs pause after each answer
     * @param reconnects tells whether the caller connects again after an answer that announces the close
     */
    KeepAliveCaller(int port, IntFunction<String> requests, long pauseMs, BooleanSupplier reconnects) {
        this.port = port;
        this.requests = requests;
        this.pauseMs = pauseMs;
        this.reconnects = reconnects;
    }

    /**
     * Answer that was received whole.
     *
     * @param status HTTP status
     * @param body the body
     * @param last whether it announces that the connection is closed
     */
    record Answer(int status, String body, boolean last) {}

    /**
     * Request that was sent whole and whose connection ended without a whole answer.
     *
     * @param requestsBefore number of requests sent on the connection before
     * @param afterMs time from the last byte sent to the end of the connection
     * @param end how the connection ended
     */
    record Cut(int requestsBefore, long afterMs, String end) {}

    KeepAliveCaller start() {
        thread.setDaemon(true);
        thread.start();
        return this;
    }

    /** Waits until the caller has ended, as its last connection announced its close or the port refuses. */
    boolean ended(long waitMs) throws InterruptedException {
        thread.join(waitMs);
        return !thread.isAlive();
    }

    Queue<Answer> answers() {
        return answers;
    }

    Queue<Cut> cuts() {
        return cuts;
    }

    /** Returns whether the caller wanted to connect and the port refused. */
    boolean refused() {
        return refused;
    }

    private void run() {
        int number = 0;
        boolean announced;
        do {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), READ_TIMEOUT_MS);
                socket.setSoTimeout(READ_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                announced = false;
                for (int requestsBefore = 0; !announced; requestsBefore++) {
                    Optional<Answer> answer = exchange(socket, in, requests.apply(number++), requestsBefore);
                    if (answer.isEmpty()) {
                        break;
                    }
                    announced = answer.get().last();
                    Thread.sleep(announced ? 0 : pauseMs);
                }
            } catch (ConnectException e) {
                refused = true;
                return;
            } catch (IOException e) {
                announced = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        } while (reconnects.getAsBoolean() || !announced);
    }

    private Optional<Answer> exchange(Socket socket, InputStream in, String request, int requestsBefore)
            throws IOException {
        try {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Optional.empty(); // not sent whole
        }
        long sentNs = System.nanoTime();
        try {
            Answer answer = read(in);
            answers.add(answer);
            return Optional.of(answer);
        } catch (IOException e) {
            cuts.add(new Cut(
                    requestsBefore,
                    Math.round((System.nanoTime() - sentNs) / NANOS_PER_MS),
                    String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String statusLine = line(in);
        int length = 0;
        boolean chunked = false;
        boolean last = false;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lower.substring("content-length:".length()).trim());
            }
            chunked |= lower.equals("transfer-encoding: chunked");
            last |= lower.equals("connection: close");
        }
        String body = chunked ? chunks(in) : bytes(in, length);
        return new Answer(Integer.parseInt(statusLine.split(" ")[1]), body, last);
    }

    private static String chunks(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        for (int length = Integer.parseInt(line(in), 16); length > 0; length = Integer.parseInt(line(in), 16)) {
            body.append(bytes(in, length));
            line(in);
        }
        line(in);
        return body.toString();
    }

    private static String bytes(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end of the stream");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("end of the stream");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }
}
