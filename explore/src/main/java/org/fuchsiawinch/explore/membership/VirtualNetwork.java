package org.fuchsiawinch.explore.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipChange;
import org.fuchsiawinch.membership.MembershipInput;
import org.fuchsiawinch.membership.MembershipMessage;
import org.fuchsiawinch.membership.MembershipOutput;
import org.fuchsiawinch.membership.MembershipProtocol;
import org.fuchsiawinch.membership.MessageSizeEstimator;
import org.fuchsiawinch.membership.Outbound;
import org.fuchsiawinch.model.NodeId;

/**
 * Simulated network and clocks of the nodes: seeded message loss and delay, blocked links, crashes and pauses on a
 * virtual clock. Equal calls with an equal seed give equal runs. Not thread-safe.
 */
public final class VirtualNetwork {

    /** Time between two ticks of a node, in ms. */
    public static final long TICK_MS = 100;

    private static final int MIN_DELAY_MS = 1;
    /** Exclusive upper bound of the delay. */
    private static final int MAX_DELAY_MS = 4;

    private static final int SOCKET_BUFFER_MESSAGES = 512;

    private final SplittableRandom random;
    private final double loss;
    private final ToIntFunction<MembershipMessage> sizes = new MessageSizeEstimator();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<Endpoint, SimulatedNode> byEndpoint = new HashMap<>();
    private final Map<NodeId, SimulatedNode> nodes = new LinkedHashMap<>();
    private BiPredicate<Endpoint, Endpoint> blocked = (from, to) -> false;
    private ChangeListener listener = (observer, change, nowMs) -> {};
    private long nowMs;
    private long eventCount;

    /** Listener for changes of the views of the nodes. */
    @FunctionalInterface
    public interface ChangeListener {

        /**
         * Handles a change.
         *
         * @param observer the node whose view changed
         * @param change the change
         * @param nowMs virtual time in ms
         */
        void changed(NodeId observer, MembershipChange change, long nowMs);
    }

    /** Action scheduled at a time; actions at equal times run in the order of scheduling. */
    private record Event(long atMs, long order, Runnable action) {}

    /**
     * Creates a network without nodes at time 0.
     *
     * @param loss probability that a message is lost, 0 to 1
     * @param seed random seed of loss and delay
     */
    public VirtualNetwork(double loss, long seed) {
        this.loss = loss;
        this.random = new SplittableRandom(seed);
    }

    /** Replaces the listener. */
    public void listener(ChangeListener next) {
        listener = next;
    }

    /** Sets the directed links that drop all messages, by the addresses of sender and receiver. */
    public void blocked(BiPredicate<Endpoint, Endpoint> next) {
        blocked = next;
    }

    /** Returns the virtual time in ms. */
    public long nowMs() {
        return nowMs;
    }

    /** Returns an unmodifiable view of the running nodes, in the order in which they were started. */
    public Collection<SimulatedNode> nodes() {
        return Collections.unmodifiableCollection(nodes.values());
    }

    /** Returns a running node, or null if the node is not running. */
    public SimulatedNode node(NodeId id) {
        return nodes.get(id);
    }

    /** Starts a node; it receives all messages to its address from now on. */
    public SimulatedNode start(Member self, MembershipProtocol protocol) {
        SimulatedNode node = new SimulatedNode(self, protocol);
        nodes.put(self.id(), node);
        byEndpoint.put(self.endpoint(), node);
        schedule(nowMs + random.nextLong(TICK_MS), () -> tick(node));
        return node;
    }

    /** Stops a running node without a leave announcement. */
    public void crash(NodeId id) {
        SimulatedNode node = nodes.remove(id);
        node.running = false;
        byEndpoint.remove(node.self().endpoint(), node);
    }

    /** Pauses a running node for a duration, in ms, as SIGSTOP does; it buffers a bounded number of messages. */
    public void pause(NodeId id, long forMs) {
        SimulatedNode node = nodes.get(id);
        node.pausedUntilMs = nowMs + forMs;
        schedule(node.pausedUntilMs, () -> resume(node));
    }

    /** Delivers an input to a running node immediately. */
    public void deliverInput(NodeId id, MembershipInput input) {
        handle(nodes.get(id), input);
    }

    /** Runs all events up to and including a time, in ms. */
    public void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = untilMs;
    }

    private void tick(SimulatedNode node) {
        if (!node.running) {
            return;
        }
        long nextMs = Math.max(nowMs + TICK_MS, node.pausedUntilMs);
        if (!node.pausedAt(nowMs)) {
            handle(node, new MembershipInput.Tick());
        }
        schedule(nextMs, () -> tick(node));
    }

    private void resume(SimulatedNode node) {
        while (node.running && !node.buffer.isEmpty()) {
            deliver(node, node.buffer.poll());
        }
    }

    private void handle(SimulatedNode node, MembershipInput input) {
        MembershipOutput output = node.protocol.handle(input, nowMs);
        for (MembershipChange change : output.changes()) {
            node.applyChange(change);
            node.updateClock.onChange(nowMs);
            listener.changed(node.self().id(), change, nowMs);
        }
        output.messages().forEach(outbound -> send(node, outbound));
    }

    private void send(SimulatedNode from, Outbound outbound) {
        int bytes = sizes.applyAsInt(outbound.message());
        from.sentBytes += bytes;
        boolean lost = random.nextDouble() < loss || blocked.test(from.self().endpoint(), outbound.to());
        if (lost) {
            return;
        }
        long delayMs = random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS);
        Delivery delivery = new Delivery(outbound.message(), bytes, from.updateClock.updateMs());
        schedule(nowMs + delayMs, () -> arrive(outbound.to(), delivery));
    }

    private void arrive(Endpoint to, Delivery delivery) {
        SimulatedNode node = byEndpoint.get(to);
        if (node == null) {
            return;
        }
        if (!node.pausedAt(nowMs)) {
            deliver(node, delivery);
        } else if (node.buffer.size() < SOCKET_BUFFER_MESSAGES) {
            node.buffer.add(delivery);
        }
    }

    private void deliver(SimulatedNode node, Delivery delivery) {
        node.receivedBytes += delivery.bytes();
        handle(node, new MembershipInput.Received(delivery.message()));
        node.updateClock.onReceive(delivery.updateMs());
    }

    private void schedule(long atMs, Runnable action) {
        eventCount++;
        events.add(new Event(atMs, eventCount, action));
    }

    /** Message in transit, with the sender's update time for the convergence observer. */
    record Delivery(MembershipMessage message, int bytes, long updateMs) {}
}
