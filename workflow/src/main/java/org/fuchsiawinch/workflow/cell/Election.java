package org.fuchsiawinch.workflow.cell;

import java.util.OptionalLong;

import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Decides when this node claims the ownership of the cell. The owner's records serve as its heartbeat. Silence counts
 * towards the {@linkplain OwnerTimeout time-out} only while this node reads the stream without a gap, so that an outage
 * of the store triggers no takeover. The cell counts as vacant after a claim by this node itself: that claim was made
 * before a restart, or its ownership ends before the next claim. Not thread-safe.
 */
public final class Election {

    /** Longest gap in ms between two reads for which silence still counts; one read waits up to 0.5 s. */
    private static final long MAX_READ_GAP_MS = 1200;

    /** Time in ms that a longer gap counts as silence, unless it is the first one since the last sign of life. */
    private static final long COUNTED_GAP_MS = 600;

    /** Part of the time-out over which the nodes spread their claims after silence; over ten times a claim's delay. */
    private static final int TIMEOUT_SPREAD_DIVISOR = 3;

    /** Range in ms over which the nodes spread their claims of a vacant cell: released, or never owned. */
    private static final long VACANT_SPREAD_MS = 80;

    /**
     * Time in ms beyond the spread of claims that a small node waits before it claims; longer than the delay until a
     * node has read the claim of a larger one.
     */
    private static final long SMALL_NODE_DELAY_MS = 800;

    /** Number of low bits of an epoch that differ by node, so that concurrent claims of a round are distinct. */
    private static final int NODE_BITS = 16;

    private final String node;
    /** Delay of this node's claims within the spread, in thousandths of it. */
    private final long delayPerMille;

    /** Low bits of this node's epochs. */
    private final int nodeSuffix;

    private final boolean small;
    private final OwnerTimeout timeout;
    private long epoch;
    private String owner = "";
    private boolean vacant = true;
    private boolean released;
    private boolean countsFromSending;

    /** Whether this node has read the stream to its end, so that later records are news. */
    private boolean following;

    /** Whether a read came after too long a gap, and no sign of life since. */
    private boolean readAfterGap;

    private long lastHeartbeatMs;
    private long lastRecordMs;
    private long lastReadMs;

    /**
     * Creates an election of a cell without an owner.
     *
     * @param node name of this node
     * @param seed determines this node's claim delay and the low bits of its epochs; must differ between nodes
     * @param small whether the node is too small to own a large cell unless no larger node claims it
     * @param nowMs present time in ms
     */
    public Election(String node, long seed, boolean small, long nowMs) {
        this.node = node;
        this.small = small;
        this.timeout = new OwnerTimeout(nowMs);
        this.delayPerMille = Math.floorMod(seed, 1000L);
        this.nodeSuffix = (int) Math.floorMod(seed, 1L << NODE_BITS);
        this.lastHeartbeatMs = nowMs;
        this.lastRecordMs = nowMs;
        this.lastReadMs = nowMs;
    }

    /**
     * Applies a record of the stream.
     *
     * @param record the record
     * @param nowMs present time in ms
     */
    public void apply(CellRecord record, long nowMs) {
        if (record instanceof CellRecord.Accepted || record instanceof CellRecord.CancelRequested) {
            return;
        }
        lastRecordMs = nowMs;
        if (!(record instanceof CellRecord.Owner claim)) {
            signOfLife(nowMs);
        } else if (claim.epoch() >= epoch) {
            if (claim.epoch() > epoch) {
                ownerChanges(claim.node(), nowMs);
            } else {
                signOfLife(nowMs);
            }
            epoch = claim.epoch();
            owner = claim.node();
            released = claim.released();
            countsFromSending = claim.countsFromSending();
            timeout.term(claim.termMs());
            vacant = released || owner.equals(node);
        }
    }

    private void ownerChanges(String claimant, long nowMs) {
        if (following) {
            timeout.awaitSignOfLife();
            if (!released && !owner.isEmpty() && !owner.equals(claimant)) {
                timeout.ownerMissed(nowMs);
            }
        }
        lastHeartbeatMs = nowMs;
        readAfterGap = false;
    }

    private void signOfLife(long nowMs) {
        boolean observed = following && nowMs - lastReadMs <= MAX_READ_GAP_MS;
        timeout.signOfLife(observed ? nowMs - lastHeartbeatMs : 0, nowMs);
        lastHeartbeatMs = nowMs;
        readAfterGap = false;
    }

    /**
     * Records by how much an action of this node was late. A node on a loaded machine waits longer for the owner, which
     * may run on the same one.
     *
     * @param delayMs the delay in ms, not negative
     * @param nowMs present time in ms
     */
    public void delayed(long delayMs, long nowMs) {
        // The start of the process is slow on every machine.
        if (following) {
            timeout.delayed(delayMs, nowMs);
        }
    }

    /**
     * Records that an entry of the stream could not be read; it may be the owner's last one.
     *
     * @param nowMs present time in ms
     */
    public void unreadableRecord(long nowMs) {
        lastRecordMs = nowMs;
    }

    /**
     * Records that this node has read the stream to its end. After too long a gap between two reads, the owner's
     * silence is counted from now, as the store was away for the owner, too. Further gaps before its next sign of life
     * count in part: on a store that is always slow, the silence would never end otherwise.
     *
     * @param nowMs present time in ms
     */
    public void streamEndReached(long nowMs) {
        long gapMs = nowMs - lastReadMs;
        if (gapMs > MAX_READ_GAP_MS) {
            lastHeartbeatMs = readAfterGap ? Math.min(nowMs, lastHeartbeatMs + gapMs - COUNTED_GAP_MS) : nowMs;
            readAfterGap = true;
            if (following) {
                timeout.awaitSignOfLife();
            }
        }
        following = true;
        lastReadMs = nowMs;
    }

    /**
     * Returns the epoch under which this node should claim the cell now.
     *
     * @param nowMs present time in ms
     * @return the epoch, higher than any seen; empty if the node should not claim the cell
     */
    public OptionalLong epochToClaim(long nowMs) {
        if (lastReadMs - lastHeartbeatMs < waitMs(nowMs) || nowMs - lastReadMs > MAX_READ_GAP_MS) {
            return OptionalLong.empty();
        }
        long round = (epoch >> NODE_BITS) + 1;
        return OptionalLong.of((round << NODE_BITS) | nodeSuffix);
    }

    private long waitMs(long nowMs) {
        long silenceMs = vacant ? 0 : timeout.valueMs(nowMs);
        long spreadMs = vacant ? VACANT_SPREAD_MS : silenceMs / TIMEOUT_SPREAD_DIVISOR;
        long smallNodeMs = small ? SMALL_NODE_DELAY_MS + timeout.valueMs(nowMs) / TIMEOUT_SPREAD_DIVISOR : 0;
        return silenceMs + delayPerMille * spreadMs / 1000 + smallNodeMs;
    }

    /**
     * Returns the silence after which the owner counts as dead for this node, without the spread of claims.
     *
     * @param nowMs present time in ms
     * @return the time-out in ms
     */
    public long timeoutMs(long nowMs) {
        return timeout.valueMs(nowMs);
    }

    /**
     * Returns how long the owner has been silent on the stream, as far as this node has read it without a gap.
     *
     * @return time in ms between the last sign of life of an owner and the last read
     */
    public long ownerSilenceMs() {
        return lastReadMs - lastHeartbeatMs;
    }

    /**
     * Returns the current owner for its successor.
     *
     * @return its epoch, and the time in ms at which this node read its last record
     */
    public Predecessor predecessor() {
        return new Predecessor(epoch, lastRecordMs, countsFromSending);
    }

    /**
     * Returns the name of the current owner.
     *
     * @return the node's name; empty if the cell is vacant or its last claim is this node's own
     */
    public String owner() {
        return vacant ? "" : owner;
    }

    /**
     * Returns the highest epoch seen.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }
}
