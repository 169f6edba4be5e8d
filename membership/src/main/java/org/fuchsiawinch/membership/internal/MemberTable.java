package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MemberState;
import org.fuchsiawinch.membership.MembershipChange;
import org.fuchsiawinch.model.NodeId;

/**
 * Table of the other members known to a node. Members that are not dead are called reachable. Dead members are retained
 * for some time, so that delayed updates do not revive them. Not thread-safe.
 */
public final class MemberTable {

    private static final int MAX_DRAWS_PER_MEMBER = 4;

    private final NavigableMap<NodeId, Member> members = new TreeMap<>();
    private final List<NodeId> reachable = new ArrayList<>();
    private final Map<Endpoint, Set<NodeId>> reachableAt = new HashMap<>();
    private final Map<NodeId, Long> deadSinceMs = new HashMap<>();
    private long digest;

    /** Creates an empty table. */
    public MemberTable() {
        // Fields are initialised inline.
    }

    /** Returns the member record held on a node, also if it is dead. */
    public Optional<Member> find(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns the number of members that are not dead. */
    public int reachableCount() {
        return reachable.size();
    }

    /** Returns a copy of the ids of the members that are not dead. */
    public List<NodeId> reachable() {
        return new ArrayList<>(reachable);
    }

    /** Returns the digest of all members that are not dead. */
    public long digest() {
        return digest;
    }

    /**
     * Applies an update.
     *
     * @param update the update
     * @param nowMs present time in ms
     * @return the change, or empty if the held record is not superseded or an unknown member is declared dead
     */
    public Optional<MembershipChange> apply(Member update, long nowMs) {
        Member before = members.get(update.id());
        if (before == null && !update.state().reachable()) {
            return Optional.empty();
        }
        if (before != null && !update.supersedes(before)) {
            return Optional.empty();
        }
        store(before, update, nowMs);
        return Optional.of(new MembershipChange(
                update, Optional.ofNullable(before).map(Member::state).filter(MemberState::reachable)));
    }

    private void store(Member before, Member update, long nowMs) {
        members.put(update.id(), update);
        digest ^= Hashing.digest(update);
        if (before != null) {
            digest ^= Hashing.digest(before);
        }
        boolean wasReachable = before != null && before.state().reachable();
        if (update.state().reachable() && !wasReachable) {
            reachable.add(update.id());
            reachableAt
                    .computeIfAbsent(update.endpoint(), endpoint -> new TreeSet<>())
                    .add(update.id());
            deadSinceMs.remove(update.id());
        }
        if (!update.state().reachable() && wasReachable) {
            reachable.remove(update.id());
            removeFromEndpoint(before);
            deadSinceMs.put(update.id(), nowMs);
        }
    }

    private void removeFromEndpoint(Member member) {
        reachableAt.computeIfPresent(member.endpoint(), (endpoint, ids) -> {
            ids.remove(member.id());
            return ids.isEmpty() ? null : ids;
        });
    }

    /**
     * Evicts members that died before a time.
     *
     * @param deadBeforeMs the time in ms
     */
    public void evictDead(long deadBeforeMs) {
        deadSinceMs.entrySet().removeIf(entry -> {
            boolean old = entry.getValue() < deadBeforeMs;
            if (old) {
                members.remove(entry.getKey());
            }
            return old;
        });
    }

    /**
     * Returns a page of the members that are not dead, ordered by id.
     *
     * @param after id after which the page starts; empty for the first page
     * @param limit maximum number of members
     */
    public List<Member> page(Optional<NodeId> after, int limit) {
        NavigableMap<NodeId, Member> rest =
                after.map(id -> members.tailMap(id, false)).orElse(members);
        return rest.values().stream()
                .filter(member -> member.state().reachable())
                .limit(limit)
                .toList();
    }

    /**
     * Returns distinct random members that are not dead. May return fewer than wanted: the number of draws is bounded.
     *
     * @param wanted maximum number of members
     * @param except node to exclude
     * @param random random source
     */
    public List<Member> pickRandom(int wanted, NodeId except, RandomGenerator random) {
        List<Member> picked = new ArrayList<>(wanted);
        int maxDraws = reachable.isEmpty() ? 0 : wanted * MAX_DRAWS_PER_MEMBER;
        for (int i = 0; i < maxDraws && picked.size() < wanted; i++) {
            Member member = members.get(reachable.get(random.nextInt(reachable.size())));
            if (!member.id().equals(except) && !picked.contains(member)) {
                picked.add(member);
            }
        }
        return picked;
    }

    /** Returns the other members at the address of a node that are not dead. */
    public List<Member> othersAtSameEndpoint(Member node) {
        return reachableAt.getOrDefault(node.endpoint(), Set.of()).stream()
                .filter(id -> !id.equals(node.id()))
                .map(members::get)
                .toList();
    }
}
