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
 * Probes one member in each period and relays probes for other nodes. An unanswered probe is retried within its period,
 * directly and through other members. Not thread-safe.
 */
public final class Prober {

    private static final int MAX_PENDING_RELAYS = 256;
    private static final int MAX_RETRIES = 2;

    private final GossipState state;
    private final ProbeOrder order = new ProbeOrder();
    private final Map<Integer, Relay> relays = new HashMap<>();
    private Optional<Probe> currentProbe = Optional.empty();
    private long nextProbeMs = Long.MIN_VALUE;
    private int lastSequence;

    /** Probe that awaits its answer, with the time of its latest transmission. */
    private record Probe(Member target, int sequence, long sentMs, int retries) {}

    /** Probe sent on behalf of another node, with the sequence number that the requester gave to it. */
    private record Relay(Endpoint requester, int sequence, long expiresMs) {}

    /** Creates a prober without a pending probe. */
    public Prober(GossipState state) {
        this.state = state;
    }

    /** Cancels the pending probe after a pause of this node, during which its answer may have been lost. */
    public void cancelProbe() {
        currentProbe = Optional.empty();
    }

    /** Sends due retries and probes, and marks a member as suspect if its probe period ends without an answer. */
    public void tick(long nowMs, MembershipOutput.Builder out) {
        relays.values().removeIf(relay -> relay.expiresMs() <= nowMs);
        currentProbe
                .filter(probe -> probe.retries() < MAX_RETRIES)
                .filter(probe -> nowMs - probe.sentMs() >= state.settings().ackTimeoutMs())
                .ifPresent(probe -> retryProbe(probe, nowMs, out));
        if (nowMs < nextProbeMs) {
            return;
        }
        currentProbe.ifPresent(probe -> state.suspect(probe.target(), nowMs, out));
        currentProbe = order.next(state.table(), state.random()).map(target -> sendProbe(target, nowMs, out));
        nextProbeMs = nowMs + state.settings().probePeriodMs();
    }

    private Probe sendProbe(Member target, long nowMs, MembershipOutput.Builder out) {
        lastSequence++;
        out.send(target.endpoint(), new Ping(state.self(), lastSequence, state.updatesFor(Optional.of(target.id()))));
        return new Probe(target, lastSequence, nowMs, 0);
    }

    private void retryProbe(Probe probe, long nowMs, MembershipOutput.Builder out) {
        out.send(
                probe.target().endpoint(),
                new Ping(
                        state.self(),
                        probe.sequence(),
                        state.updatesFor(Optional.of(probe.target().id()))));
        int relayCount = state.settings().indirectProbes();
        for (Member relayMember : state.pickRandom(relayCount, probe.target().id())) {
            out.send(
                    relayMember.endpoint(),
                    new PingRequest(
                            state.self(),
                            probe.sequence(),
                            probe.target().endpoint(),
                            state.updatesFor(Optional.of(relayMember.id()))));
        }
        currentProbe = Optional.of(new Probe(probe.target(), probe.sequence(), nowMs, probe.retries() + 1));
    }

    /** Answers a probe. */
    public void onPing(Ping ping, MembershipOutput.Builder out) {
        Member from = ping.from();
        out.send(
                from.endpoint(),
                new Ack(state.self(), ping.sequence(), state.self().id(), state.updatesFor(Optional.of(from.id()))));
    }

    /** Probes a member on behalf of another node; ignored while the maximum number of relayed probes is pending. */
    public void onPingRequest(PingRequest request, long nowMs, MembershipOutput.Builder out) {
        if (relays.size() >= MAX_PENDING_RELAYS) {
            return;
        }
        lastSequence++;
        long expiresMs = nowMs + state.settings().probePeriodMs();
        relays.put(lastSequence, new Relay(request.from().endpoint(), request.sequence(), expiresMs));
        out.send(request.target(), new Ping(state.self(), lastSequence, state.updatesFor(Optional.empty())));
    }

    /**
     * Handles the answer to a probe of this node or to one that it relays. If another node answers at the address of
     * the probed member, the member is declared dead.
     */
    public void onAck(Ack ack, long nowMs, MembershipOutput.Builder out) {
        Relay relay = relays.remove(ack.sequence());
        if (relay != null) {
            out.send(
                    relay.requester(),
                    new Ack(state.self(), relay.sequence(), ack.subject(), state.updatesFor(Optional.empty())));
            return;
        }
        Optional<Probe> answered = currentProbe.filter(probe -> probe.sequence() == ack.sequence());
        if (answered.isEmpty()) {
            return;
        }
        Member target = answered.get().target();
        currentProbe = Optional.empty();
        if (ack.subject().equals(target.id())) {
            state.cancelLeavingTimer(target);
        } else {
            state.declareDead(target.id(), nowMs, out);
        }
    }
}
