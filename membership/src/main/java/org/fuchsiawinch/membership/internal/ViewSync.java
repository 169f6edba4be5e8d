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
 * Compares views with a seed or a member now and then, and pulls pages where they differ: so a new node joins, and
 * halves that were apart find each other. The interval is short while pages bring new members and grows to its full
 * length while they do not. Not thread-safe.
 */
public final class ViewSync {

    private static final int INTERVAL_GROWTH = 2;
    private static final int MAX_ATTEMPTS = 4;

    private final Group group;
    private List<Endpoint> seeds = List.of();
    private Optional<Pull> pull = Optional.empty();
    private long nextSyncMs = Long.MIN_VALUE;
    private boolean seedNext = true;
    private long intervalMs;
    private boolean joined;

    /** The next page to ask for; asked again if it does not come. */
    private record Pull(Endpoint peer, NodeId after, int attempts, long dueMs) {}

    /** Creates the comparison without seeds. */
    public ViewSync(Group group) {
        this.group = group;
    }

    /** Replaces the seeds. */
    public void seeds(List<Endpoint> next) {
        seeds = next.stream()
                .filter(seed -> !seed.equals(group.self().endpoint()))
                .toList();
    }

    /** Sends what is due. */
    public void tick(long nowMs, MembershipOutput.Builder out) {
        GossipSettings settings = group.settings();
        if (nextSyncMs == Long.MIN_VALUE) {
            nextSyncMs = nowMs + group.random().nextLong(settings.joinIntervalMs());
            intervalMs = settings.joinIntervalMs();
        }
        pull = pull.filter(page -> page.attempts() < MAX_ATTEMPTS || page.dueMs() > nowMs);
        pull.filter(page -> page.dueMs() <= nowMs).ifPresent(page -> ask(page, nowMs, out));
        if (nowMs < nextSyncMs || pull.isPresent()) {
            return;
        }
        target().ifPresent(peer -> out.send(peer, new SyncRequest(group.self(), group.digest(), Optional.empty())));
        boolean alone = group.table().reachableCount() == 0;
        nextSyncMs = nowMs + (alone ? settings.joinIntervalMs() : intervalMs);
        intervalMs = Math.min(settings.syncIntervalMs(), INTERVAL_GROWTH * intervalMs);
    }

    private void ask(Pull page, long nowMs, MembershipOutput.Builder out) {
        out.send(page.peer(), new SyncRequest(group.self(), group.digest(), Optional.of(page.after())));
        long dueMs = nowMs + group.settings().ackTimeoutMs();
        pull = Optional.of(new Pull(page.peer(), page.after(), page.attempts() + 1, dueMs));
    }

    private Optional<Endpoint> target() {
        boolean useSeed = seedNext || group.table().reachableCount() == 0;
        seedNext = !useSeed;
        if (useSeed && !seeds.isEmpty()) {
            return Optional.of(seeds.get(group.random().nextInt(seeds.size())));
        }
        return group.pick(1, group.self().id()).stream().findFirst().map(Member::endpoint);
    }

    /** Answers with a page, or not at all if the views agree. */
    public void onRequest(SyncRequest request, MembershipOutput.Builder out) {
        boolean agreed = request.after().isEmpty() && request.digest() == group.digest();
        if (agreed) {
            return;
        }
        int limit = group.settings().syncPageMembers();
        List<Member> page = group.table().page(request.after(), limit);
        Optional<NodeId> next = page.size() < limit
                ? Optional.empty()
                : Optional.of(page.get(page.size() - 1).id());
        List<Member> updates = Stream.concat(
                        group.notice(Optional.of(request.from().id())).stream(), page.stream())
                .toList();
        out.send(request.from().endpoint(), new SyncPage(group.self(), updates, next));
    }

    /** Takes in a page and notes the next one to ask for, unless the page came late. */
    public void onPage(SyncPage page, long nowMs, MembershipOutput.Builder out) {
        int before = group.table().reachableCount();
        page.updates().forEach(update -> group.merge(update, joined, nowMs, out));
        if (group.table().reachableCount() > before) {
            intervalMs = group.settings().joinIntervalMs();
        }
        joined = joined || page.next().isEmpty();
        Endpoint peer = page.from().endpoint();
        boolean late = pull.filter(asked -> !asked.peer().equals(peer)
                        || page.next()
                                .filter(next -> next.compareTo(asked.after()) <= 0)
                                .isPresent())
                .isPresent();
        if (!late) {
            pull = page.next().map(after -> new Pull(peer, after, 0, nowMs));
        }
    }
}
