package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.fuchsiawinch.membership.GossipSettings;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MemberState;
import org.fuchsiawinch.membership.MembershipChange;
import org.fuchsiawinch.membership.MembershipMessage.Gossip;
import org.fuchsiawinch.membership.MembershipOutput;
import org.fuchsiawinch.model.NodeId;

/** What one gossiping node holds: itself, its members, the statements to spread and the running suspicions. */
public final class GossipState {

    private final GossipSettings settings;
    private final RandomGenerator random;
    private final MemberTable table = new MemberTable();
    private final UpdateQueue queue = new UpdateQueue();
    private final SuspicionTimers timers = new SuspicionTimers();
    private Member self;

    /** Creates the group of one node, without members. */
    public GossipState(Member self, GossipSettings settings, RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
    }

    /** Returns this node as it states itself. */
    public Member self() {
        return self;
    }

    /** Returns the members. */
    public MemberTable table() {
        return table;
    }

    /** Returns the settings. */
    public GossipSettings settings() {
        return settings;
    }

    /** Returns the source of random choices. */
    public RandomGenerator random() {
        return random;
    }

    /** Returns whether statements wait to be spread. */
    public boolean hasUpdates() {
        return !queue.isEmpty();
    }

    /** Returns the digest of this node's view, itself included. */
    public long digest() {
        return table.digest() ^ Hashing.digest(self);
    }

    /** Picks members other than one at random. */
    public List<Member> pickRandom(int wanted, NodeId except) {
        return table.pickRandom(wanted, except, random);
    }

    /** States that this node is leaving. */
    public void leave() {
        self = self.withState(MemberState.LEAVING);
        queue.add(self);
    }

    /**
     * Takes in the sender's statement on itself. A sender that is not held as dead replaces any other member at its
     * address.
     *
     * @return whether the sender is held as dead, so that its rumours do not count
     */
    public boolean mergeSender(Member from, long nowMs, MembershipOutput.Builder out) {
        merge(from, true, nowMs, out);
        boolean dead = table.find(from.id())
                .map(held -> held.state() == MemberState.DEAD)
                .orElse(false);
        if (!dead) {
            table.othersAtSameEndpoint(from)
                    .forEach(other -> merge(other.withState(MemberState.DEAD), true, nowMs, out));
        }
        return dead;
    }

    /**
     * Takes in a statement.
     *
     * @param update the statement
     * @param propagate whether a change is passed on
     * @param nowMs present time in ms
     * @param out collects changes
     */
    public void merge(Member update, boolean propagate, long nowMs, MembershipOutput.Builder out) {
        if (update.id().equals(self.id())) {
            mergeSelf(update);
            return;
        }
        Optional<MembershipChange> change = table.apply(update, nowMs);
        if (change.isEmpty()) {
            requeueDeath(update);
            return;
        }
        out.change(change.get());
        if (propagate) {
            queue.add(update);
        }
        timers.cancel(update.id());
        if (update.state() == MemberState.SUSPECT) {
            timers.start(update.id(), nowMs + suspicionMs());
        }
    }

    private void mergeSelf(Member update) {
        boolean suspected = update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD;
        if (suspected && update.incarnation() >= self.incarnation()) {
            self = self.withIncarnation(update.incarnation() + 1);
            queue.add(self);
        }
        if (update.state() == MemberState.LEAVING && self.state() != MemberState.LEAVING) {
            leave();
        }
    }

    private void requeueDeath(Member update) {
        if (!update.state().routable()) {
            return;
        }
        table.find(update.id()).filter(held -> held.state() == MemberState.DEAD).ifPresent(queue::add);
    }

    /** Suspects a member that did not answer a probe, and tells it so that it can refute. */
    public void suspect(Member target, long nowMs, MembershipOutput.Builder out) {
        Optional<Member> held = table.find(target.id());
        if (held.isEmpty() || !held.get().state().reachable()) {
            return;
        }
        if (held.get().state() == MemberState.LEAVING) {
            timers.start(target.id(), nowMs + suspicionMs());
            return;
        }
        Member suspect = held.get().withState(MemberState.SUSPECT);
        merge(suspect, true, nowMs, out);
        out.send(suspect.endpoint(), new Gossip(self, List.of(suspect)));
    }

    /** Clears the timer of a leaving member that still answers. */
    public void cancelLeavingTimer(Member target) {
        table.find(target.id())
                .filter(held -> held.state() == MemberState.LEAVING)
                .ifPresent(held -> timers.cancel(held.id()));
    }

    /** Declares a member dead. */
    public void declareDead(NodeId id, long nowMs, MembershipOutput.Builder out) {
        table.find(id)
                .filter(held -> held.state().reachable())
                .ifPresent(held -> merge(held.withState(MemberState.DEAD), true, nowMs, out));
    }

    /** Declares suspects dead whose time is up, and forgets members that are long dead. */
    public void expire(long nowMs, MembershipOutput.Builder out) {
        timers.expired(nowMs).forEach(id -> declareDead(id, nowMs, out));
        table.evictDead(nowMs - settings.deadRetentionMs());
    }

    /** Moves all deadlines after this node was paused. */
    public void postponeDeadlines(long byMs) {
        timers.postpone(byMs);
    }

    /**
     * Returns statements for a message.
     *
     * @param receiver its receiver, if known; what is held against it comes first, so that it can refute
     */
    public List<Member> updatesFor(Optional<NodeId> receiver) {
        List<Member> updates = new ArrayList<>(refutableUpdate(receiver));
        updates.addAll(queue.take(settings.maxUpdates(), sendLimit()));
        return List.copyOf(updates);
    }

    /** Returns the statement against a node that is held as suspect or dead, if any. */
    public List<Member> refutableUpdate(Optional<NodeId> receiver) {
        return receiver.flatMap(table::find)
                .filter(held -> held.state() == MemberState.SUSPECT || held.state() == MemberState.DEAD)
                .map(List::of)
                .orElse(List.of());
    }

    private long suspicionMs() {
        double growth = Math.max(1.0, StrictMath.log10(table.reachableCount() + 1.0));
        return Math.round(settings.suspicionMs() * growth);
    }

    private int sendLimit() {
        int log2 = Integer.SIZE - Integer.numberOfLeadingZeros(table.reachableCount());
        return settings.retransmitFactor() * Math.max(1, log2);
    }
}
