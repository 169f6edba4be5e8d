package org.fuchsiawinch.workflow.cell;

import java.util.OptionalLong;

import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Decides when a node tries to own the cell. An owner shows that it lives by the records that it stores; silence counts
 * only while this node reads the stream without a gap, so that an outage of the store makes nobody take over. A claim
 * of this node's own is of an earlier life, or ends before the next one is made. Not thread-safe.
 */
public final class Election {

    /** Silence after which an owner counts as dead, in ms; three missed heartbeats. */
    private static final long SILENT_MS = 1200;

    /** Longest gap between two reads during which silence still counts, in ms; a read waits 0.5 s. */
    private static final long READ_GAP_MS = 1200;

    /** Spread of the nodes' claims after silence, in ms; a claim is stored and seen within a tenth of it. */
    private static final long SILENCE_SPREAD_MS = 400;

    /** Spread of the nodes' claims after a release, or when nobody ever owned the cell, in ms. */
    private static final long RELEASE_SPREAD_MS = 80;

    /** Low bits of an epoch, which differ between nodes that claim the same round. */
    private static final int NODE_BITS = 16;

    private final String node;
    private final long spread;
    private final int nodeBits;
    private long epoch;
    private String owner = "";
    private boolean vacant = true;
    private long signMs;
    private long readMs;

    /**
     * Creates an election that knows of no owner.
     *
     * @param node name of this node
     * @param seed picks this node's place in the spread, and the low bits of its epochs; differs between nodes
     * @param nowMs present time in ms
     */
    public Election(String node, long seed, long nowMs) {
        this.node = node;
        this.spread = Math.floorMod(seed, 1000L);
        this.nodeBits = (int) Math.floorMod(seed, 1L << NODE_BITS);
        this.signMs = nowMs;
        this.readMs = nowMs;
    }

    /**
     * Takes a record of the stream.
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
                signMs = nowMs;
            }
        } else if (record instanceof CellRecord.Progress) {
            signMs = nowMs;
        }
    }

    /**
     * Notes that the stream was read to its end.
     *
     * @param nowMs present time in ms
     */
    public void readToEnd(long nowMs) {
        if (nowMs - readMs > READ_GAP_MS) {
            signMs = nowMs;
        }
        readMs = nowMs;
    }

    /**
     * Says whether this node should claim the cell.
     *
     * @param nowMs present time in ms
     * @return the epoch to claim, or empty
     */
    public OptionalLong epochToClaim(long nowMs) {
        long waitMs = vacant ? spread * RELEASE_SPREAD_MS / 1000 : SILENT_MS + spread * SILENCE_SPREAD_MS / 1000;
        if (readMs - signMs < waitMs || nowMs - readMs > READ_GAP_MS) {
            return OptionalLong.empty();
        }
        long round = (epoch >> NODE_BITS) + 1;
        return OptionalLong.of((round << NODE_BITS) | nodeBits);
    }

    /**
     * Gives the name of the last owner.
     *
     * @return the node's name; empty before the first claim
     */
    public String owner() {
        return vacant ? "" : owner;
    }

    /**
     * Gives the highest epoch seen.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }
}
