package org.fuchsiawinch.membership;

/**
 * Address at which a node receives peer messages.
 *
 * @param host IP address as text
 * @param port UDP or TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) implements Comparable<Endpoint> {

    private static final int MAX_PORT = 65_535;

    /**
     * Validates the components.
     *
     * @throws IllegalMembershipException if the host is blank or the port is out of range
     */
    public Endpoint {
        if (host == null || host.isBlank()) {
            throw new IllegalMembershipException("host", "blank");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalMembershipException("port", "outside 1.." + MAX_PORT + ": " + port);
        }
    }

    @Override
    public int compareTo(Endpoint other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
