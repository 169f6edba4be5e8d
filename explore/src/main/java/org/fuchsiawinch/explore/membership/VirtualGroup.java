package org.fuchsiawinch.explore.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipInput;
import org.fuchsiawinch.model.NodeId;

/** Group of nodes on a {@link VirtualNetwork}; starts and restarts its nodes. Not thread-safe. */
public final class VirtualGroup {

    private static final int DATA_CENTRES = 7;
    private static final int PORT = 7_000;
    private static final int HOSTS_PER_BLOCK = 250;

    private final VirtualNetwork network;
    private final ProtocolKind kind;
    private final SplittableRandom seeds;
    private int started;

    /**
     * Creates a group without nodes.
     *
     * @param kind protocol of the nodes
     * @param loss probability that a message is lost, 0 to 1
     * @param seed random seed of the network and all nodes
     */
    public VirtualGroup(ProtocolKind kind, double loss, long seed) {
        this.kind = kind;
        this.seeds = new SplittableRandom(seed);
        this.network = new VirtualNetwork(loss, seeds.nextLong());
    }

    /** Returns the network. */
    public VirtualNetwork network() {
        return network;
    }

    /** Starts nodes on hosts 0 to {@code count - 1}, each with the full VM list. */
    public void startAll(int count) {
        List<Endpoint> all = new ArrayList<>();
        for (int host = 0; host < count; host++) {
            all.add(endpoint(host));
        }
        for (int host = 0; host < count; host++) {
            start(host, all);
        }
    }

    /**
     * Starts a process on a host. It replaces any earlier process at the same address.
     *
     * @param host number of the host
     * @param vmList live VMs in the VM list that the process receives
     * @return the id of the new node
     */
    public NodeId start(int host, List<Endpoint> vmList) {
        started++;
        NodeId id = new NodeId("node-" + host + "-" + started);
        Member self = Member.alive(id, endpoint(host), "dc-" + host % DATA_CENTRES);
        network.start(self, kind.create(self, seeds.nextLong()));
        network.deliverInput(id, new MembershipInput.VmList(vmList, List.of()));
        return id;
    }

    /** Delivers a VM list to every running node. */
    public void deliverVmList(List<Endpoint> live) {
        for (SimulatedNode node : List.copyOf(network.nodes())) {
            network.deliverInput(node.id(), new MembershipInput.VmList(live, List.of()));
        }
    }

    /** Advances the virtual clock by a duration, in ms. */
    public void run(long forMs) {
        network.runUntil(network.nowMs() + forMs);
    }

    /** Returns whether every running node can route to exactly the other running nodes. */
    public boolean agreed() {
        long running = network.nodes().stream()
                .mapToLong(node -> SimulatedNode.digest(node.id()))
                .reduce(0, (left, right) -> left ^ right);
        return network.nodes().stream().allMatch(node -> node.viewDigest == running);
    }

    /** Runs until all views agree or the limit is reached, and returns the time elapsed, in ms. */
    public long runUntilAgreed(long limitMs) {
        long startMs = network.nowMs();
        while (!agreed() && network.nowMs() - startMs < limitMs) {
            run(VirtualNetwork.TICK_MS);
        }
        return network.nowMs() - startMs;
    }

    /** Returns the address of the host with a number. */
    public static Endpoint endpoint(int host) {
        return new Endpoint("10.20." + host / HOSTS_PER_BLOCK + "." + (host % HOSTS_PER_BLOCK + 1), PORT);
    }
}
