package org.fuchsiawinch.membership;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.MembershipInput.Leave;
import org.fuchsiawinch.membership.MembershipInput.Received;
import org.fuchsiawinch.membership.MembershipInput.Tick;
import org.fuchsiawinch.membership.MembershipInput.VmList;
import org.fuchsiawinch.membership.MembershipMessage.Ack;
import org.fuchsiawinch.membership.MembershipMessage.Gossip;
import org.fuchsiawinch.membership.MembershipMessage.Ping;
import org.fuchsiawinch.membership.MembershipMessage.SyncPage;
import org.fuchsiawinch.membership.MembershipMessage.SyncRequest;
import org.fuchsiawinch.model.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a gossip protocol that undoes a leave, applies updates of a dead sender or a stale VM list, resends
 * without bound or declares others dead after its own pause. Each test passes single inputs to one node.
 */
public class GossipMembershipTest {

    private final Member self = node(1);
    private final Member peer = node(2);
    private final Member third = node(3);
    private GossipMembership protocol;
    private MembershipView view;

    @BeforeMethod
    void create() {
        protocol = new GossipMembership(self, GossipSettings.DEFAULTS, 1);
        view = new MembershipView();
    }

    @Test
    public void refutesSuspicionOfItself() {
        step(new Received(new Gossip(peer, List.of())), 0);
        MembershipOutput out = step(new Received(new Ping(peer, 9, List.of(self.withState(MemberState.SUSPECT)))), 10);
        Ack ack = (Ack) out.messages().get(0).message();
        assertEquals(ack.from().incarnation(), 1);
        assertEquals(ack.from().state(), MemberState.ALIVE);
        assertEquals(ack.sequence(), 9);
    }

    @Test
    public void leavingTakesEffectAtOnceAndIsPermanent() {
        step(new Received(new Gossip(peer.withIncarnation(4), List.of())), 0);
        step(new Received(new Gossip(third, List.of(peer.withState(MemberState.LEAVING)))), 10);
        assertEquals(view.routable(), List.of(third.id()));
        step(new Received(new Gossip(peer.withIncarnation(5), List.of())), 20);
        assertEquals(view.routable(), List.of(third.id()));
    }

    @Test
    public void notifiesMembersWhenLeaving() {
        step(new Received(new Gossip(peer, List.of())), 0);
        MembershipOutput out = step(new Leave(), 10);
        assertEquals(out.messages().size(), 1);
        assertEquals(out.messages().get(0).message().from().state(), MemberState.LEAVING);
    }

    @Test
    public void newProcessReplacesPreviousOneAtSameEndpoint() {
        step(new Received(new Gossip(peer, List.of())), 0);
        Member restarted = Member.alive(new NodeId("n2-b"), peer.endpoint(), "dc");
        step(new Received(new SyncRequest(restarted, 0, Optional.empty())), 10);
        assertEquals(view.routable(), List.of(restarted.id()));
    }

    @Test
    public void vmListedAsLeavingIsNotRoutable() {
        step(new VmList(List.of(peer.endpoint()), List.of()), 0);
        step(new Received(new Gossip(peer, List.of())), 1);
        step(new VmList(List.of(), List.of(peer.endpoint())), 2);
        assertTrue(view.routable().isEmpty());
    }

    @Test
    public void staleLeavingEntryDoesNotAffectNewProcess() {
        step(new VmList(List.of(), List.of(peer.endpoint())), 0);
        step(new Received(new Gossip(peer, List.of())), 1);
        step(new VmList(List.of(), List.of(peer.endpoint())), 2);
        assertEquals(view.routable(), List.of(peer.id()));
    }

    @Test
    public void updatesFromDeadSenderAreIgnored() {
        step(new Received(new Gossip(peer, List.of())), 0);
        step(new Received(new Gossip(third, List.of(peer.withState(MemberState.DEAD)))), 10);
        step(new Received(new Gossip(peer, List.of(third.withState(MemberState.DEAD)))), 20);
        assertEquals(view.routable(), List.of(third.id()));
    }

    @Test
    public void retriesLostPageBoundedNumberOfTimes() {
        step(new Received(new SyncPage(peer, List.of(third), Optional.of(third.id()))), 0);
        int requestsSent = 0;
        for (long nowMs = 0; nowMs < 5_000; nowMs += 100) {
            for (Outbound outbound : step(new Tick(), nowMs).messages()) {
                boolean next = outbound.message() instanceof SyncRequest request
                        && request.after().equals(Optional.of(third.id()));
                requestsSent += next && outbound.to().equals(peer.endpoint()) ? 1 : 0;
            }
        }
        assertEquals(requestsSent, 4);
    }

    @Test
    public void retriesProbeWithinItsPeriodBeforeSuspecting() {
        step(new Received(new Gossip(peer, List.of())), 0);
        int pings = 0;
        for (long nowMs = 0; nowMs < 1_000; nowMs += 100) {
            for (Outbound outbound : step(new Tick(), nowMs).messages()) {
                pings += outbound.message() instanceof Ping ? 1 : 0;
            }
        }
        assertEquals(pings, 3);
        assertEquals(view.member(peer.id()).orElseThrow().state(), MemberState.ALIVE);
        step(new Tick(), 1_000);
        assertEquals(view.member(peer.id()).orElseThrow().state(), MemberState.SUSPECT);
    }

    @Test
    public void equalViewsExchangeNoPages() {
        step(new Received(new Gossip(peer, List.of())), 0);
        GossipMembership other = new GossipMembership(peer, GossipSettings.DEFAULTS, 2);
        MembershipOutput first = other.handle(new Received(new SyncRequest(self, 0, Optional.empty())), 1);
        assertTrue(first.messages().get(0).message() instanceof SyncPage);
        long digest = digestSentBy(protocol);
        MembershipOutput second = other.handle(new Received(new SyncRequest(self, digest, Optional.empty())), 2);
        assertTrue(second.messages().isEmpty());
    }

    @Test
    public void sendsUpdateBoundedNumberOfTimes() {
        step(new Received(new Gossip(peer, List.of(third))), 0);
        int timesSent = 0;
        for (int i = 0; i < 200; i++) {
            MembershipOutput out = step(new Received(new Ping(peer, i, List.of())), i);
            timesSent += out.messages().get(0).message().updates().contains(third) ? 1 : 0;
        }
        int limit = GossipSettings.DEFAULTS.retransmitFactor() * 2;
        assertEquals(timesSent, limit);
    }

    @Test
    public void ownPauseDoesNotExpireSuspicions() {
        step(new Received(new Gossip(peer, List.of(third.withState(MemberState.SUSPECT)))), 0);
        step(new Tick(), 100);
        step(new Tick(), 3_600_000);
        assertTrue(view.member(third.id()).isPresent());
    }

    private static long digestSentBy(GossipMembership protocol) {
        for (long nowMs = 0; nowMs < 60_000; nowMs += 100) {
            for (Outbound outbound : protocol.handle(new Tick(), nowMs).messages()) {
                if (outbound.message() instanceof SyncRequest request) {
                    return request.digest();
                }
            }
        }
        throw new AssertionError("no SyncRequest sent within 60 s");
    }

    private MembershipOutput step(MembershipInput input, long nowMs) {
        MembershipOutput out = protocol.handle(input, nowMs);
        view.apply(out.changes());
        return out;
    }

    private static Member node(int number) {
        return Member.alive(new NodeId("n" + number), new Endpoint("10.0.0." + number, 7000), "dc");
    }
}
