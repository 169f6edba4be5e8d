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

    private final Group group;
    private List<Endpoint> seeds = List.of();
    private Optional<Cursor> cursor = Optional.empty();
    private long nextSyncMs = Long.MIN_VALUE;
    private boolean seedNext = true;
    private long intervalMs;
    private boolean joined;

    /** Where to go on pulling pages. */
    private record Cursor(Endpoint peer, NodeId after) {}

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
        cursor.ifPresent(
                at -> out.send(at.peer(), new SyncRequest(group.self(), group.digest(), Optional.of(at.after()))));
        cursor = Optional.empty();
        if (nowMs < nextSyncMs) {
            return;
        }
        target().ifPresent(peer -> out.send(peer, new SyncRequest(group.self(), group.digest(), Optional.empty())));
        boolean alone = group.table().reachableCount() == 0;
        nextSyncMs = nowMs + (alone ? settings.joinIntervalMs() : intervalMs);
        intervalMs = Math.min(settings.syncIntervalMs(), INTERVAL_GROWTH * intervalMs);
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

    /** Takes in a page; the next one is asked for on the next tick. */
    public void onPage(SyncPage page, long nowMs, MembershipOutput.Builder out) {
        int before = group.table().reachableCount();
        page.updates().forEach(update -> group.merge(update, joined, nowMs, out));
        if (group.table().reachableCount() > before) {
            intervalMs = group.settings().joinIntervalMs();
        }
        cursor = page.next().map(after -> new Cursor(page.from().endpoint(), after));
        joined = joined || cursor.isEmpty();
    }
}
