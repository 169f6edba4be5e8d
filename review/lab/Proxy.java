package lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** TCP proxy on a loopback address whose open connections can be made silent, while new ones work. */
public final class Proxy implements AutoCloseable {

    private static final class Link {
        final Socket near;
        final Socket far;
        volatile boolean silent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    private final ServerSocket listener;
    private final int target;
    private final Recorder recorder;
    private final List<Link> links = new ArrayList<>();

    public Proxy(int target, Recorder recorder) throws IOException {
        this.target = target;
        this.recorder = recorder;
        this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept).start();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Makes all open connections silent for good; they are not closed. Returns their number. */
    public synchronized int silenceOpenConnections() {
        links.removeIf(link -> link.near.isClosed());
        links.forEach(link -> link.silent = true);
        recorder.line("proxy", links.size(), "open connections are silent from now on");
        return links.size();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                synchronized (this) {
                    links.add(link);
                }
                Lab.daemon(() -> pump(link, near, far)).start();
                Lab.daemon(() -> pump(link, far, near)).start();
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    recorder.line("proxy", "accept failed", e);
                }
            }
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                if (!link.silent) {
                    out.write(buffer, 0, count);
                }
            }
        } catch (IOException e) {
            // The connection was closed by one side; both are closed below.
        }
        if (!link.silent || from == link.near) {
            close(link);
        }
    }

    private static void close(Link link) {
        try {
            link.near.close();
            link.far.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
