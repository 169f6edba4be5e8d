package org.fuchsiawinch.explore.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MemberState;
import org.fuchsiawinch.membership.MembershipChange;
import org.fuchsiawinch.membership.MembershipProtocol;
import org.fuchsiawinch.membership.MembershipView;
import org.fuchsiawinch.model.NodeId;

/** Simulated node with its view and traffic counters. Owned by its {@link VirtualNetwork}; not thread-safe. */
public final class SimulatedNode {

    final MembershipProtocol protocol;
    final UpdateClock updateClock = new UpdateClock();
    /** Messages that arrived during a pause. */
    final Deque<VirtualNetwork.Delivery> buffer = new ArrayDeque<>();

    boolean running = true;
    long pausedUntilMs;
    long sentBytes;
    long receivedBytes;
    /** Digest of the node itself and the nodes that are routable in its view. */
    long viewDigest;

    private final Member self;
    private final MembershipView view = new MembershipView();

    SimulatedNode(Member self, MembershipProtocol protocol) {
        this.self = self;
        this.protocol = protocol;
        this.viewDigest = digest(self.id());
    }

    /** Returns the contribution of a node to the digest of the routable nodes; contributions are combined by XOR. */
    static long digest(NodeId id) {
        return new SplittableRandom(id.hashCode()).nextLong();
    }

    void applyChange(MembershipChange change) {
        view.apply(List.of(change));
        boolean before = change.previous().map(MemberState::routable).orElse(false);
        if (before != change.member().state().routable()) {
            viewDigest ^= digest(change.member().id());
        }
    }

    /** Returns the member record with which the node was started. */
    public Member self() {
        return self;
    }

    /** Returns the id of the node. */
    public NodeId id() {
        return self.id();
    }

    /** Returns the node's view of the other members. */
    public MembershipView view() {
        return view;
    }

    /** Returns the number of bytes sent. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns the number of bytes received. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Returns the latest update time known to the node, in ms. */
    public long updateMs() {
        return updateClock.updateMs();
    }

    boolean pausedAt(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /**
     * Latest time, in ms, at which any node is known to have changed its view. This is the convergence measure of the
     * Xenon node group service, which takes equal values on all nodes as an indication of equal views.
     */
    static final class UpdateClock {

        private long updateMs;

        long updateMs() {
            return updateMs;
        }

        void onChange(long nowMs) {
            updateMs = Math.max(updateMs, nowMs);
        }

        void onReceive(long otherMs) {
            updateMs = Math.max(updateMs, otherMs);
        }
    }
}
