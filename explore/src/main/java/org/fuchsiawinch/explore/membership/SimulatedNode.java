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

/** A node on the virtual network, with its view and its traffic. Owned by its {@link VirtualNetwork}. */
public final class SimulatedNode {

    final MembershipProtocol protocol;
    final UpdateClock updateClock = new UpdateClock();
    final Deque<VirtualNetwork.Delivery> buffer = new ArrayDeque<>();
    boolean running = true;
    long pausedUntilMs;
    long sentBytes;
    long receivedBytes;
    long viewDigest;

    private final Member self;
    private final MembershipView view = new MembershipView();

    SimulatedNode(Member self, MembershipProtocol protocol) {
        this.self = self;
        this.protocol = protocol;
        this.viewDigest = digest(self.id());
    }

    /** Returns the part of a node in the digest of the routable nodes. */
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

    /** Returns the node as it was started. */
    public Member self() {
        return self;
    }

    /** Returns the node's id. */
    public NodeId id() {
        return self.id();
    }

    /** Returns what the node believes of the others. */
    public MembershipView view() {
        return view;
    }

    /** Returns the bytes sent so far. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Returns the bytes received so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /** Returns the latest update time that the node saw or heard of, in ms. */
    public long updateMs() {
        return updateClock.updateMs();
    }

    boolean pausedAt(long nowMs) {
        return nowMs < pausedUntilMs;
    }

    /**
     * The greatest time at which any node is known to have changed its view, in ms: the convergence measure of the
     * Xenon node group service, where equal values on all nodes are taken for equal views.
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
