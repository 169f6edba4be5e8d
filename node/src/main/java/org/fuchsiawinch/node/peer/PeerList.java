package org.fuchsiawinch.node.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.IllegalMembershipException;

/** Parses the list of peers in the settings. Stateless. */
public final class PeerList {

    private PeerList() {}

    /**
     * Parses a list.
     *
     * @param text {@code IP:PORT} pairs, separated by commas; may be empty
     * @return the endpoints in order, or empty if an entry is not such a pair
     */
    public static Optional<List<Endpoint>> parse(String text) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String entry : text.split(",")) {
            if (entry.isBlank()) {
                continue;
            }
            Optional<Endpoint> endpoint = parseOne(entry.trim());
            if (endpoint.isEmpty()) {
                return Optional.empty();
            }
            endpoints.add(endpoint.get());
        }
        return Optional.of(endpoints);
    }

    private static Optional<Endpoint> parseOne(String entry) {
        int colon = entry.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Endpoint(entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1))));
        } catch (NumberFormatException | IllegalMembershipException e) {
            return Optional.empty();
        }
    }
}
