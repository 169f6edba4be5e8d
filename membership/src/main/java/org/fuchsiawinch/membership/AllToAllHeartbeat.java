package org.fuchsiawinch.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.fuchsiawinch.membership.MembershipMessage.Heartbeat;
import org.fuchsiawinch.model.NodeId;

/**
 * All-to-all heartbeat protocol. Each node sends heartbeats to every live address of the VM list, to every known member
 * and to the members listed in heartbeats that it receives, and declares a member dead when no heartbeat arrives within
 * the timeout. The message rate of a node grows with the number of nodes. Not thread-safe.
 */
public final class AllToAllHeartbeat implements MembershipProtocol {

    private final HeartbeatSettings settings;
    private final Map<NodeId, Peer> peers = new TreeMap<>();
    /** Addresses of members listed in received heartbeats, with the time until which heartbeats are sent there. */
    private final Map<Endpoint, Long> hintExpiryMs = new LinkedHashMap<>();

    private List<Endpoint> seeds = List.of();
    private Member self;
    private long nextHeartbeatMs = Long.MIN_VALUE;
    private long lastTickMs = Long.MIN_VALUE;
    private int nextHintIndex;

    /** A known member and the time of its last heartbeat. */
    private record Peer(Member member, long lastHeartbeatMs) {}

    /**
     * Creates the protocol of one node.
     *
     * @param self this node at incarnation 0
     * @param settings intervals and limits
     */
    public AllToAllHeartbeat(Member self, HeartbeatSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    @Override
    public MembershipOutput handle(MembershipInput input, long nowMs) {
        MembershipOutput.Builder out = new MembershipOutput.Builder();
        if (input instanceof MembershipInput.Tick) {
            tick(nowMs, out);
        } else if (input instanceof MembershipInput.Received received) {
            receive(received.message(), nowMs, out);
        } else if (input instanceof MembershipInput.VmList list) {
            onVmList(list, out);
        } else if (input instanceof MembershipInput.Leave) {
            leave(out);
        }
        return out.build();
    }

    private void tick(long nowMs, MembershipOutput.Builder out) {
        boolean paused = lastTickMs != Long.MIN_VALUE && nowMs - lastTickMs > settings.intervalMs();
        if (paused) {
            // A gap between ticks is a pause of this node, which must not count as silence of the others.
            long gapMs = nowMs - lastTickMs;
            peers.replaceAll((id, peer) -> new Peer(peer.member(), peer.lastHeartbeatMs() + gapMs));
        }
        lastTickMs = nowMs;
        expire(nowMs, out);
        if (nowMs >= nextHeartbeatMs) {
            sendHeartbeats(out);
            nextHeartbeatMs = nowMs + settings.intervalMs();
        }
    }

    private void expire(long nowMs, MembershipOutput.Builder out) {
        for (Peer peer : List.copyOf(peers.values())) {
            long silenceMs = nowMs - peer.lastHeartbeatMs();
            if (silenceMs >= settings.deadAfterMs()) {
                changeState(peer, MemberState.DEAD, out);
            } else if (silenceMs >= settings.suspectAfterMs() && peer.member().state() == MemberState.ALIVE) {
                changeState(peer, MemberState.SUSPECT, out);
            }
        }
        hintExpiryMs.values().removeIf(expiryMs -> expiryMs <= nowMs);
    }

    private void changeState(Peer peer, MemberState next, MembershipOutput.Builder out) {
        Member member = peer.member().withState(next);
        if (next == MemberState.DEAD) {
            peers.remove(member.id());
        } else {
            peers.put(member.id(), new Peer(member, peer.lastHeartbeatMs()));
        }
        out.change(new MembershipChange(member, Optional.of(peer.member().state())));
    }

    private void sendHeartbeats(MembershipOutput.Builder out) {
        Set<Endpoint> targets = new TreeSet<>(seeds);
        peers.values().forEach(peer -> targets.add(peer.member().endpoint()));
        targets.addAll(hintExpiryMs.keySet());
        targets.remove(self.endpoint());
        Heartbeat heartbeat = new Heartbeat(self, nextHints());
        targets.forEach(target -> out.send(target, heartbeat));
    }

    private List<Member> nextHints() {
        List<Member> known = peers.values().stream().map(Peer::member).toList();
        int count = Math.min(settings.maxUpdates(), known.size());
        List<Member> hints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            hints.add(known.get((nextHintIndex + i) % known.size()));
        }
        nextHintIndex = known.isEmpty() ? 0 : (nextHintIndex + count) % known.size();
        return List.copyOf(hints);
    }

    private void receive(MembershipMessage message, long nowMs, MembershipOutput.Builder out) {
        if (!(message instanceof Heartbeat heartbeat)) {
            return;
        }
        Member from = heartbeat.from();
        if (from.id().equals(self.id())) {
            return;
        }
        Peer before = peers.get(from.id());
        // A leaving member stays leaving until it is dead, also if its own heartbeat still says alive.
        Member accepted = before != null && before.member().state() == MemberState.LEAVING
                ? from.withState(MemberState.LEAVING)
                : from;
        peers.put(from.id(), new Peer(accepted, nowMs));
        if (before == null || before.member().state() != accepted.state()) {
            out.change(new MembershipChange(
                    accepted, Optional.ofNullable(before).map(Peer::member).map(Member::state)));
        }
        for (Member hint : heartbeat.updates()) {
            hintExpiryMs.put(hint.endpoint(), nowMs + settings.deadAfterMs());
        }
    }

    private void onVmList(MembershipInput.VmList list, MembershipOutput.Builder out) {
        seeds = list.live();
        for (Peer peer : List.copyOf(peers.values())) {
            boolean leaving = list.leaving().contains(peer.member().endpoint());
            if (leaving && peer.member().state().routable()) {
                changeState(peer, MemberState.LEAVING, out);
            }
        }
    }

    private void leave(MembershipOutput.Builder out) {
        self = self.withState(MemberState.LEAVING);
        sendHeartbeats(out);
    }
}
