package org.fuchsiawinch.membership.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipMessage.Ack;
import org.fuchsiawinch.membership.MembershipMessage.Ping;
import org.fuchsiawinch.membership.MembershipMessage.PingRequest;
import org.fuchsiawinch.membership.MembershipOutput;

/**
 * Probes one member a period, and relays probes for others. A probe that is not answered is retried, directly and
 * through helpers, while its period lasts. Not thread-safe.
 */
public final class Prober {

    private static final int MAX_RELAYS = 256;
    private static final int MAX_RETRIES = 2;

    private final Group group;
    private final ProbeOrder order = new ProbeOrder();
    private final Map<Integer, Relay> relays = new HashMap<>();
    private Optional<Probe> current = Optional.empty();
    private long nextProbeMs = Long.MIN_VALUE;
    private int lastSequence;

    /** The running probe. */
    private record Probe(Member target, int sequence, long askedMs, int retries) {}

    /** A probe sent for another node. */
    private record Relay(Endpoint requester, int sequence, long expiresMs) {}

    /** Creates a prober. */
    public Prober(Group group) {
        this.group = group;
    }

    /** Drops the running probe after a pause of this node, whose answer may be long gone. */
    public void abandon() {
        current = Optional.empty();
    }

    /** Sends what is due. */
    public void tick(long nowMs, MembershipOutput.Builder out) {
        relays.values().removeIf(relay -> relay.expiresMs() <= nowMs);
        current.filter(probe -> probe.retries() < MAX_RETRIES)
                .filter(probe -> nowMs - probe.askedMs() >= group.settings().ackTimeoutMs())
                .ifPresent(probe -> retry(probe, nowMs, out));
        if (nowMs < nextProbeMs) {
            return;
        }
        current.ifPresent(probe -> group.suspect(probe.target(), nowMs, out));
        current = order.next(group.table(), group.random()).map(target -> start(target, nowMs, out));
        nextProbeMs = nowMs + group.settings().probePeriodMs();
    }

    private Probe start(Member target, long nowMs, MembershipOutput.Builder out) {
        lastSequence++;
        out.send(target.endpoint(), new Ping(group.self(), lastSequence, group.updatesFor(Optional.of(target.id()))));
        return new Probe(target, lastSequence, nowMs, 0);
    }

    private void retry(Probe probe, long nowMs, MembershipOutput.Builder out) {
        out.send(
                probe.target().endpoint(),
                new Ping(
                        group.self(),
                        probe.sequence(),
                        group.updatesFor(Optional.of(probe.target().id()))));
        int helpers = group.settings().indirectProbes();
        for (Member helper : group.pick(helpers, probe.target().id())) {
            out.send(
                    helper.endpoint(),
                    new PingRequest(
                            group.self(),
                            probe.sequence(),
                            probe.target().endpoint(),
                            group.updatesFor(Optional.of(helper.id()))));
        }
        current = Optional.of(new Probe(probe.target(), probe.sequence(), nowMs, probe.retries() + 1));
    }

    /** Answers a probe. */
    public void onPing(Ping ping, MembershipOutput.Builder out) {
        Member from = ping.from();
        out.send(
                from.endpoint(),
                new Ack(group.self(), ping.sequence(), group.self().id(), group.updatesFor(Optional.of(from.id()))));
    }

    /** Probes a member for another node. */
    public void onPingRequest(PingRequest request, long nowMs, MembershipOutput.Builder out) {
        if (relays.size() >= MAX_RELAYS) {
            return;
        }
        lastSequence++;
        long expiresMs = nowMs + group.settings().probePeriodMs();
        relays.put(lastSequence, new Relay(request.from().endpoint(), request.sequence(), expiresMs));
        out.send(request.target(), new Ping(group.self(), lastSequence, group.updatesFor(Optional.empty())));
    }

    /** Takes an answer to a probe of this node or to one that it relays. */
    public void onAck(Ack ack, long nowMs, MembershipOutput.Builder out) {
        Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            out.send(
                    relay.requester(),
                    new Ack(group.self(), relay.sequence(), ack.subject(), group.updatesFor(Optional.empty())));
            return;
        }
        Optional<Probe> answered = current.filter(probe -> probe.sequence() == ack.sequence());
        if (answered.isEmpty()) {
            return;
        }
        Member target = answered.get().target();
        current = Optional.empty();
        if (ack.subject().equals(target.id())) {
            group.answered(target);
        } else {
            group.declareDead(target.id(), nowMs, out);
        }
    }
}
