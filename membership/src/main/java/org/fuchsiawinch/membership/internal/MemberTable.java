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
 * Statements that a node holds on the others, with dead members kept for a time so that late rumours do not revive
 * them. Not thread-safe.
 */
public final class MemberTable {

    private static final int PICK_ATTEMPTS_PER_WANTED = 4;

    private final NavigableMap<NodeId, Member> members = new TreeMap<>();
    private final List<NodeId> reachable = new ArrayList<>();
    private final Map<Endpoint, Set<NodeId>> reachableAt = new HashMap<>();
    private final Map<NodeId, Long> deadSinceMs = new HashMap<>();
    private long digest;

    /** Creates an empty table. */
    public MemberTable() {
        // Nothing to prepare.
    }

    /** Finds the statement on a node. */
    public Optional<Member> find(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns the number of members that are not dead. */
    public int reachableCount() {
        return reachable.size();
    }

    /** Returns the ids of the members that are not dead; a copy. */
    public List<NodeId> reachable() {
        return new ArrayList<>(reachable);
    }

    /** Returns the digest over all members that are not dead. */
    public long digest() {
        return digest;
    }

    /**
     * Takes in a statement.
     *
     * @param update the statement
     * @param nowMs present time in ms
     * @return the change, or empty if a held statement stands
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
     * Forgets members that have been dead for long.
     *
     * @param deadBeforeMs members dead since before this time, in ms, go
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
     * Returns a page of the members that are not dead, by id.
     *
     * @param after the page starts behind this id; empty for the first
     * @param limit greatest number of members
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
     * Picks distinct members that are not dead at random.
     *
     * @param wanted greatest number of members
     * @param except a node that is not picked
     * @param random source of choice
     */
    public List<Member> pickRandom(int wanted, NodeId except, RandomGenerator random) {
        List<Member> picked = new ArrayList<>(wanted);
        int attempts = reachable.isEmpty() ? 0 : wanted * PICK_ATTEMPTS_PER_WANTED;
        for (int i = 0; i < attempts && picked.size() < wanted; i++) {
            Member member = members.get(reachable.get(random.nextInt(reachable.size())));
            if (!member.id().equals(except) && !picked.contains(member)) {
                picked.add(member);
            }
        }
        return picked;
    }

    /** Returns the members that are not dead at the same address as a node, without itself. */
    public List<Member> othersAtSameEndpoint(Member node) {
        return reachableAt.getOrDefault(node.endpoint(), Set.of()).stream()
                .filter(id -> !id.equals(node.id()))
                .map(members::get)
                .toList();
    }
}
