package org.fuchsiawinch.explore.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.MemberState;
import org.fuchsiawinch.membership.MembershipInput;
import org.fuchsiawinch.model.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against groups that declare running nodes dead, miss dead ones or do not agree again after message loss,
 * pauses, crashes, partitions and restarts.
 */
public class MembershipFaultTest {

    private static final long JOIN_MS = 15_000;
    private static final long SETTLE_MS = 60_000;
    private static final long HEAL_MS = 30_000;
    private static final long HOUR_MS = 3_600_000;

    private final List<NodeId> declaredDead = new ArrayList<>();
    private final List<NodeId> suspected = new ArrayList<>();

    @DataProvider
    Object[][] protocols() {
        return new Object[][] {{ProtocolKind.HEARTBEAT}, {ProtocolKind.GOSSIP}};
    }

    @Test(dataProvider = "protocols")
    public void fivePercentLossDeclaresNoMemberDead(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0.05, 11);
        group.run(600_000);
        assertEquals(declaredDead, List.of());
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
    }

    @Test
    public void oneWayLinkLossRaisesNoSuspicion() {
        VirtualGroup group = started(ProtocolKind.GOSSIP, 8, 0, 12);
        Endpoint from = VirtualGroup.endpoint(0);
        Endpoint to = VirtualGroup.endpoint(1);
        group.network().blocked((sender, receiver) -> sender.equals(from) && receiver.equals(to));
        group.run(600_000);
        assertEquals(suspected, List.of());
        assertEquals(declaredDead, List.of());
        assertTrue(group.agreed());
    }

    @Test
    public void onlyNodeWithoutInboundTrafficIsDeclaredDead() {
        VirtualGroup group = started(ProtocolKind.GOSSIP, 8, 0, 13);
        NodeId isolated = group.network().nodes().iterator().next().id();
        Endpoint address = VirtualGroup.endpoint(0);
        group.network().blocked((sender, receiver) -> receiver.equals(address));
        group.run(SETTLE_MS);
        group.network()
                .listener((observer, change, nowMs) -> assertTrue(
                        observer.equals(isolated) || change.member().id().equals(isolated), observer + " " + change));
        group.run(SETTLE_MS);
        for (SimulatedNode node : group.network().nodes()) {
            int expected = node.id().equals(isolated) ? node.view().routable().size() : 6;
            assertEquals(node.view().routable().size(), expected, node.id().value());
        }
        group.network().blocked((sender, receiver) -> false);
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
    }

    @Test(dataProvider = "protocols")
    public void twoSecondPauseDeclaresNoMemberDead(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0, 14);
        NodeId paused = group.network().nodes().iterator().next().id();
        for (int i = 0; i < 20; i++) {
            group.network().pause(paused, 2_000);
            group.run(20_000);
        }
        assertEquals(declaredDead, List.of());
    }

    @Test(dataProvider = "protocols")
    public void nodePausedForAMinuteRejoins(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0, 15);
        NodeId paused = group.network().nodes().iterator().next().id();
        group.network().pause(paused, 60_000);
        group.run(60_000);
        assertEquals(Set.copyOf(declaredDead), Set.of(paused));
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
        assertEquals(Set.copyOf(declaredDead), Set.of(paused));
    }

    @Test(dataProvider = "protocols")
    public void partitionsMergeAfterAnHour(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0, 16);
        Set<Endpoint> partition = new TreeSet<>();
        for (int host = 0; host < 3; host++) {
            partition.add(VirtualGroup.endpoint(host));
        }
        group.network().blocked((from, to) -> partition.contains(from) != partition.contains(to));
        group.run(HOUR_MS);
        group.network().nodes().forEach(node -> {
            int others = partition.contains(node.self().endpoint()) ? 2 : 4;
            assertEquals(node.view().routable().size(), others, node.id().value());
        });
        group.network().blocked((from, to) -> false);
        assertTrue(group.runUntilAgreed(HEAL_MS) < HEAL_MS);
    }

    @Test(dataProvider = "protocols")
    public void simultaneousRestartFormsOneGroup(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0, 17);
        for (SimulatedNode node : List.copyOf(group.network().nodes())) {
            group.network().crash(node.id());
        }
        group.startAll(8);
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
    }

    @Test(dataProvider = "protocols")
    public void staleVmListExcludesNoNode(ProtocolKind kind) {
        VirtualGroup group = started(kind, 8, 0, 18);
        List<Endpoint> old = hosts(0, 8);
        for (NodeId crashed : ids(group).subList(0, 3)) {
            group.network().crash(crashed);
        }
        for (int host = 8; host < 11; host++) {
            group.start(host, old);
        }
        group.deliverVmList(old);
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
    }

    @Test(dataProvider = "protocols")
    public void lostDataCentreIsDetected(ProtocolKind kind) {
        VirtualGroup group = started(kind, 50, 0.01, 19);
        List<NodeId> crashed = group.network().nodes().stream()
                .filter(node -> node.self().dataCentre().equals("dc-2"))
                .map(SimulatedNode::id)
                .toList();
        crashed.forEach(group.network()::crash);
        assertEquals(crashed.size(), 7);
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
        assertEquals(Set.copyOf(declaredDead), Set.copyOf(crashed));
    }

    @Test(dataProvider = "protocols")
    public void leavingNodeIsNotRoutableAfterSeconds(ProtocolKind kind) {
        VirtualGroup group = started(kind, 50, 0.05, 20);
        NodeId leaving = ids(group).get(7);
        group.network().deliverInput(leaving, new MembershipInput.Leave());
        group.run(5_000);
        group.network()
                .listener((observer, change, nowMs) ->
                        assertFalse(change.member().id().equals(leaving)
                                && change.member().state().routable()));
        for (int i = 0; i < 60; i++) {
            group.network()
                    .nodes()
                    .forEach(node -> assertFalse(
                            node.view().routable().contains(leaving), node.id().value()));
            group.run(1_000);
        }
    }

    @Test
    public void viewsAgreeAfterSimultaneousPauseAndCrash() {
        VirtualGroup group = started(ProtocolKind.GOSSIP, 8, 0.05, 21);
        List<NodeId> ids = ids(group);
        group.network().pause(ids.get(0), 10_000);
        group.network().crash(ids.get(1));
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
    }

    private VirtualGroup started(ProtocolKind kind, int nodes, double loss, long seed) {
        VirtualGroup group = new VirtualGroup(kind, loss, seed);
        group.startAll(nodes);
        group.run(JOIN_MS);
        assertTrue(group.runUntilAgreed(SETTLE_MS) < SETTLE_MS);
        declaredDead.clear();
        suspected.clear();
        group.network().listener((observer, change, nowMs) -> {
            if (change.member().state() == MemberState.SUSPECT) {
                suspected.add(change.member().id());
            }
            if (change.member().state() == MemberState.DEAD) {
                declaredDead.add(change.member().id());
            }
        });
        return group;
    }

    private static List<NodeId> ids(VirtualGroup group) {
        return group.network().nodes().stream().map(SimulatedNode::id).toList();
    }

    private static List<Endpoint> hosts(int from, int to) {
        List<Endpoint> hosts = new ArrayList<>();
        for (int host = from; host < to; host++) {
            hosts.add(VirtualGroup.endpoint(host));
        }
        return hosts;
    }
}
