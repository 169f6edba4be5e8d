package org.fuchsiawinch.membership.internal;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.GossipSettings;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipMessage.SyncPage;
import org.fuchsiawinch.membership.MembershipMessage.SyncRequest;
import org.fuchsiawinch.membership.MembershipOutput;
import org.fuchsiawinch.model.NodeId;

/**
 * Synchronises the view with a seed or member at intervals and pulls pages of members if the views differ. In this way
 * new nodes join and separated partitions merge. The interval starts at the join interval, doubles up to the configured
 * maximum and is reset when a page brings new members. Not thread-safe.
 */
public final class ViewSync {

    private static final int INTERVAL_GROWTH = 2;
    private static final int MAX_PAGE_ATTEMPTS = 4;

    private final GossipState state;
    private List<Endpoint> seeds = List.of();
    private Optional<PageRequest> pendingPage = Optional.empty();
    private long nextSyncMs = Long.MIN_VALUE;
    /** Whether the next peer is a seed; seeds and members take turns. */
    private boolean preferSeed = true;

    private long intervalMs;
    /** Whether a last page has arrived; members of pages received until then are not propagated. */
    private boolean joined;

    /** Request for the next page, repeated if the page does not arrive. */
    private record PageRequest(Endpoint peer, NodeId after, int attempts, long dueMs) {}

    /** Creates the synchronisation without seeds. */
    public ViewSync(GossipState state) {
        this.state = state;
    }

    /** Replaces the seeds; the address of this node is ignored. */
    public void seeds(List<Endpoint> next) {
        seeds = next.stream()
                .filter(seed -> !seed.equals(state.self().endpoint()))
                .toList();
    }

    /** Sends due synchronisation and page requests. */
    public void tick(long nowMs, MembershipOutput.Builder out) {
        GossipSettings settings = state.settings();
        if (nextSyncMs == Long.MIN_VALUE) {
            nextSyncMs = nowMs + state.random().nextLong(settings.joinIntervalMs());
            intervalMs = settings.joinIntervalMs();
        }
        pendingPage = pendingPage.filter(page -> page.attempts() < MAX_PAGE_ATTEMPTS || page.dueMs() > nowMs);
        pendingPage.filter(page -> page.dueMs() <= nowMs).ifPresent(page -> requestPage(page, nowMs, out));
        if (nowMs < nextSyncMs || pendingPage.isPresent()) {
            return;
        }
        pickPeer().ifPresent(peer -> out.send(peer, new SyncRequest(state.self(), state.digest(), Optional.empty())));
        boolean noMembers = state.table().reachableCount() == 0;
        nextSyncMs = nowMs + (noMembers ? settings.joinIntervalMs() : intervalMs);
        intervalMs = Math.min(settings.syncIntervalMs(), INTERVAL_GROWTH * intervalMs);
    }

    private void requestPage(PageRequest page, long nowMs, MembershipOutput.Builder out) {
        out.send(page.peer(), new SyncRequest(state.self(), state.digest(), Optional.of(page.after())));
        long dueMs = nowMs + state.settings().ackTimeoutMs();
        pendingPage = Optional.of(new PageRequest(page.peer(), page.after(), page.attempts() + 1, dueMs));
    }

    private Optional<Endpoint> pickPeer() {
        boolean useSeed = preferSeed || state.table().reachableCount() == 0;
        preferSeed = !useSeed;
        if (useSeed && !seeds.isEmpty()) {
            return Optional.of(seeds.get(state.random().nextInt(seeds.size())));
        }
        return state.pickRandom(1, state.self().id()).stream().findFirst().map(Member::endpoint);
    }

    /** Answers with a page; a request for the first page is not answered if the views have the same digest. */
    public void onRequest(SyncRequest request, MembershipOutput.Builder out) {
        boolean viewsEqual = request.after().isEmpty() && request.digest() == state.digest();
        if (viewsEqual) {
            return;
        }
        int limit = state.settings().syncPageMembers();
        List<Member> page = state.table().page(request.after(), limit);
        Optional<NodeId> next = page.size() < limit
                ? Optional.empty()
                : Optional.of(page.get(page.size() - 1).id());
        List<Member> updates = Stream.concat(
                        state.refutableUpdate(Optional.of(request.from().id())).stream(), page.stream())
                .toList();
        out.send(request.from().endpoint(), new SyncPage(state.self(), updates, next));
    }

    /**
     * Merges a page and schedules the request for the next one. No request is scheduled if the page is stale: a page of
     * another peer is awaited, or this page arrived before.
     */
    public void onPage(SyncPage page, long nowMs, MembershipOutput.Builder out) {
        int before = state.table().reachableCount();
        page.updates().forEach(update -> state.merge(update, joined, nowMs, out));
        if (state.table().reachableCount() > before) {
            intervalMs = state.settings().joinIntervalMs();
        }
        joined = joined || page.next().isEmpty();
        Endpoint peer = page.from().endpoint();
        boolean stale = pendingPage
                .filter(pending -> !pending.peer().equals(peer)
                        || page.next()
                                .filter(next -> next.compareTo(pending.after()) <= 0)
                                .isPresent())
                .isPresent();
        if (!stale) {
            pendingPage = page.next().map(after -> new PageRequest(peer, after, 0, nowMs));
        }
    }
}
