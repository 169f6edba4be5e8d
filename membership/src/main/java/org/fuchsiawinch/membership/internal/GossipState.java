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

/** State of one gossiping node: itself, its members, the queued updates and the pending suspicions. Not thread-safe. */
public final class GossipState {

    private final GossipSettings settings;
    private final RandomGenerator random;
    private final MemberTable table = new MemberTable();
    private final UpdateQueue queue = new UpdateQueue();
    private final SuspicionTimers timers = new SuspicionTimers();
    private Member self;

    /** Creates the state of a node that knows no other members. */
    public GossipState(Member self, GossipSettings settings, RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
    }

    /** Returns this node's own member record. */
    public Member self() {
        return self;
    }

    /** Returns the table of the other members. */
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

    /** Returns whether updates are queued for dissemination. */
    public boolean hasUpdates() {
        return !queue.isEmpty();
    }

    /** Returns the digest of this node's view, itself included. */
    public long digest() {
        return table.digest() ^ Hashing.digest(self);
    }

    /** Returns up to {@code wanted} random members that are not dead, without {@code except}. */
    public List<Member> pickRandom(int wanted, NodeId except) {
        return table.pickRandom(wanted, except, random);
    }

    /** Marks this node as leaving and queues the update. */
    public void leave() {
        self = self.withState(MemberState.LEAVING);
        queue.add(self);
    }

    /**
     * Merges the sender's own member record. A sender that is not held as dead replaces any other member at its
     * address.
     *
     * @return whether the sender is held as dead, in which case its updates on other members are ignored
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
     * Merges an update.
     *
     * @param update the update
     * @param propagate whether a change is queued for dissemination
     * @param nowMs present time in ms
     * @param out collects the changes of the view
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

    /** Queues a death again when an update shows that its sender has not learned of it. */
    private void requeueDeath(Member update) {
        if (!update.state().routable()) {
            return;
        }
        table.find(update.id()).filter(held -> held.state() == MemberState.DEAD).ifPresent(queue::add);
    }

    /**
     * Marks a member that did not answer a probe as suspect and notifies it so that it can refute. A leaving member
     * keeps its state and is declared dead after the suspicion timeout unless it answers.
     */
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

    /** Cancels the suspicion timer of a leaving member that still answers. */
    public void cancelLeavingTimer(Member target) {
        table.find(target.id())
                .filter(held -> held.state() == MemberState.LEAVING)
                .ifPresent(held -> timers.cancel(held.id()));
    }

    /** Declares a member dead unless it already is. */
    public void declareDead(NodeId id, long nowMs, MembershipOutput.Builder out) {
        table.find(id)
                .filter(held -> held.state().reachable())
                .ifPresent(held -> merge(held.withState(MemberState.DEAD), true, nowMs, out));
    }

    /** Declares dead the members whose suspicion timed out, and evicts members dead for longer than the retention. */
    public void expire(long nowMs, MembershipOutput.Builder out) {
        timers.expired(nowMs).forEach(id -> declareDead(id, nowMs, out));
        table.evictDead(nowMs - settings.deadRetentionMs());
    }

    /** Postpones all suspicion deadlines by the duration of a pause of this node, in ms. */
    public void postponeDeadlines(long byMs) {
        timers.postpone(byMs);
    }

    /**
     * Returns the updates to send in a message, and counts the queued ones as sent.
     *
     * @param receiver receiver of the message, if known; if it is held as suspect or dead, that update comes first, so
     *     that it can refute
     */
    public List<Member> updatesFor(Optional<NodeId> receiver) {
        List<Member> updates = new ArrayList<>(refutableUpdate(receiver));
        updates.addAll(queue.take(settings.maxUpdates(), sendLimit()));
        return List.copyOf(updates);
    }

    /** Returns the update on a node that is held as suspect or dead, or an empty list. */
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
