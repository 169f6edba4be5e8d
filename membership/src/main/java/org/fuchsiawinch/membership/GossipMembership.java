package org.fuchsiawinch.membership;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.fuchsiawinch.membership.MembershipMessage.Ack;
import org.fuchsiawinch.membership.MembershipMessage.Gossip;
import org.fuchsiawinch.membership.MembershipMessage.Ping;
import org.fuchsiawinch.membership.MembershipMessage.PingRequest;
import org.fuchsiawinch.membership.MembershipMessage.SyncPage;
import org.fuchsiawinch.membership.MembershipMessage.SyncRequest;
import org.fuchsiawinch.membership.internal.GossipState;
import org.fuchsiawinch.membership.internal.Prober;
import org.fuchsiawinch.membership.internal.ViewSync;

/**
 * Membership protocol in the style of SWIM. In each period a node probes one member, first directly and then also
 * indirectly through other members. A member that does not answer becomes suspect and can refute with a higher
 * incarnation until the suspicion times out. Updates are piggybacked on probes and sent in gossip rounds, each update a
 * bounded number of times. Views are synchronised with seeds and members at intervals. The message rate of a node does
 * not grow with the number of nodes. Not thread-safe.
 */
public final class GossipMembership implements MembershipProtocol {

    private final GossipSettings settings;
    private final GossipState state;
    private final Prober prober;
    private final ViewSync sync;
    /** Leaving addresses of the latest VM list; empty before the first list. */
    private Optional<List<Endpoint>> leavingEndpoints = Optional.empty();

    private long lastTickMs = Long.MIN_VALUE;
    private long nextGossipMs = Long.MIN_VALUE;

    /**
     * Creates the protocol of one node.
     *
     * @param self this node at incarnation 0
     * @param settings intervals and limits
     * @param seed seed of all random choices
     */
    public GossipMembership(Member self, GossipSettings settings, long seed) {
        this.settings = settings;
        this.state = new GossipState(self, settings, new SplittableRandom(seed));
        this.prober = new Prober(state);
        this.sync = new ViewSync(state);
    }

    @Override
    public MembershipOutput handle(MembershipInput input, long nowMs) {
        MembershipOutput.Builder out = new MembershipOutput.Builder();
        if (input instanceof MembershipInput.Tick) {
            tick(nowMs, out);
        } else if (input instanceof MembershipInput.Received received) {
            receive(received.message(), nowMs, out);
        } else if (input instanceof MembershipInput.VmList list) {
            onVmList(list, nowMs, out);
        } else if (input instanceof MembershipInput.Leave) {
            leave(out);
        }
        return out.build();
    }

    private void tick(long nowMs, MembershipOutput.Builder out) {
        long gapMs = lastTickMs == Long.MIN_VALUE ? 0 : nowMs - lastTickMs;
        lastTickMs = nowMs;
        if (gapMs > settings.pauseThresholdMs()) {
            state.postponeDeadlines(gapMs);
            prober.cancelProbe();
        }
        state.expire(nowMs, out);
        prober.tick(nowMs, out);
        sync.tick(nowMs, out);
        gossipIfDue(nowMs, out);
    }

    private void gossipIfDue(long nowMs, MembershipOutput.Builder out) {
        if (nowMs < nextGossipMs || !state.hasUpdates()) {
            return;
        }
        nextGossipMs = nowMs + settings.gossipIntervalMs();
        sendGossip(settings.gossipFanout(), out);
    }

    private void sendGossip(int fanout, MembershipOutput.Builder out) {
        for (Member target : state.pickRandom(fanout, state.self().id())) {
            List<Member> updates = state.updatesFor(Optional.of(target.id()));
            out.send(target.endpoint(), new Gossip(state.self(), updates));
        }
    }

    private void receive(MembershipMessage message, long nowMs, MembershipOutput.Builder out) {
        if (message.from().id().equals(state.self().id())) {
            return;
        }
        boolean senderDead = state.mergeSender(message.from(), nowMs, out);
        if (message instanceof SyncPage page) {
            sync.onPage(page, nowMs, out);
        } else {
            mergeUpdates(message, senderDead, nowMs, out);
        }
        if (message instanceof Ping ping) {
            prober.onPing(ping, out);
        } else if (message instanceof PingRequest request) {
            prober.onPingRequest(request, nowMs, out);
        } else if (message instanceof Ack ack) {
            prober.onAck(ack, nowMs, out);
        } else if (message instanceof SyncRequest request) {
            sync.onRequest(request, out);
        }
    }

    private void mergeUpdates(MembershipMessage message, boolean senderDead, long nowMs, MembershipOutput.Builder out) {
        for (Member update : message.updates()) {
            boolean aboutSelf = update.id().equals(state.self().id());
            if (!senderDead || aboutSelf) {
                state.merge(update, true, nowMs, out);
            }
        }
    }

    private void onVmList(MembershipInput.VmList list, long nowMs, MembershipOutput.Builder out) {
        sync.seeds(list.live());
        // Leaving entries of the first list may be stale and concern an earlier process at the address.
        List<Endpoint> before = leavingEndpoints.orElse(list.leaving());
        List<Endpoint> newlyLeaving = list.leaving().stream()
                .filter(endpoint -> !before.contains(endpoint))
                .toList();
        leavingEndpoints = Optional.of(list.leaving());
        if (newlyLeaving.contains(state.self().endpoint())) {
            leave(out);
        }
        state.table().page(Optional.empty(), Integer.MAX_VALUE).stream()
                .filter(member -> newlyLeaving.contains(member.endpoint()))
                .filter(member -> member.state().routable())
                .forEach(member -> state.merge(member.withState(MemberState.LEAVING), true, nowMs, out));
    }

    private void leave(MembershipOutput.Builder out) {
        if (state.self().state() == MemberState.LEAVING) {
            return;
        }
        state.leave();
        sendGossip(settings.leaveFanout(), out);
    }
}
