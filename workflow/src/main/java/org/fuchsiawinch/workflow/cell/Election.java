package org.fuchsiawinch.workflow.cell;

import java.util.OptionalLong;

import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Decides when this node claims the ownership of the cell. The owner's records serve as its heartbeat. Silence counts
 * towards the time-out only while this node reads the stream without a gap, so that an outage of the store triggers no
 * takeover. The cell counts as vacant after a claim by this node itself: that claim was made before a restart, or its
 * ownership ends before the next claim. Not thread-safe.
 */
public final class Election {

    /** Silence in ms after which the owner counts as dead: three missed heartbeats. */
    private static final long OWNER_TIMEOUT_MS = 1200;

    /** Longest gap in ms between two reads for which silence still counts; one read waits up to 0.5 s. */
    private static final long MAX_READ_GAP_MS = 1200;

    /** Range in ms over which the nodes spread their claims after silence; over ten times the delay of a claim. */
    private static final long TIMEOUT_SPREAD_MS = 400;

    /** Range in ms over which the nodes spread their claims of a vacant cell: released, or never owned. */
    private static final long VACANT_SPREAD_MS = 80;

    /**
     * Extra time in ms that a small node waits before it claims; longer than the spread and the delay until a node has
     * read the claim of a larger one.
     */
    private static final long SMALL_NODE_DELAY_MS = 1200;

    /** Number of low bits of an epoch that differ by node, so that concurrent claims of a round are distinct. */
    private static final int NODE_BITS = 16;

    private final String node;
    /** Delay of this node's claims within the spread, in thousandths of it. */
    private final long delayPerMille;

    /** Low bits of this node's epochs. */
    private final int nodeSuffix;

    private final long extraDelayMs;
    private long epoch;
    private String owner = "";
    private boolean vacant = true;
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
        this.extraDelayMs = small ? SMALL_NODE_DELAY_MS : 0;
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
        if (record instanceof CellRecord.Owner claim) {
            if (claim.epoch() >= epoch) {
                epoch = claim.epoch();
                owner = claim.node();
                vacant = claim.released() || claim.node().equals(node);
                lastHeartbeatMs = nowMs;
                lastRecordMs = nowMs;
            }
        } else if (!(record instanceof CellRecord.Accepted) && !(record instanceof CellRecord.CancelRequested)) {
            lastHeartbeatMs = nowMs;
            lastRecordMs = nowMs;
        }
    }

    /**
     * Records that this node has read the stream to its end. After too long a gap between two reads, the owner's
     * silence is counted from now.
     *
     * @param nowMs present time in ms
     */
    public void streamEndReached(long nowMs) {
        if (nowMs - lastReadMs > MAX_READ_GAP_MS) {
            lastHeartbeatMs = nowMs;
        }
        lastReadMs = nowMs;
    }

    /**
     * Returns the epoch under which this node should claim the cell now.
     *
     * @param nowMs present time in ms
     * @return the epoch, higher than any seen; empty if the node should not claim the cell
     */
    public OptionalLong epochToClaim(long nowMs) {
        long waitMs = vacant
                ? delayPerMille * VACANT_SPREAD_MS / 1000
                : OWNER_TIMEOUT_MS + delayPerMille * TIMEOUT_SPREAD_MS / 1000;
        if (lastReadMs - lastHeartbeatMs < waitMs + extraDelayMs || nowMs - lastReadMs > MAX_READ_GAP_MS) {
            return OptionalLong.empty();
        }
        long round = (epoch >> NODE_BITS) + 1;
        return OptionalLong.of((round << NODE_BITS) | nodeSuffix);
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
        return new Predecessor(epoch, lastRecordMs);
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
