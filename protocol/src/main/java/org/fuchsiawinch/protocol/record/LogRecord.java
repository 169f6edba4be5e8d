package org.fuchsiawinch.protocol.record;

import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Placement;

/** Content of a record. A record that breaks a rule at its offset is void for every reader alike. */
public sealed interface LogRecord {

    /**
     * The first document. Void once a document is in force.
     *
     * @param text the whole document
     */
    record DocumentFounded(String text) implements LogRecord {}

    /**
     * A change of one section of the document. Void unless its base is the version in force and its signature is the
     * section owner's.
     *
     * @param team the team that signs
     * @param section name of the section
     * @param baseVersion version that the change was made against
     * @param text new text of the section
     * @param signature Ed25519 signature, base64
     */
    record DocumentProposed(String team, String section, int baseVersion, String text, String signature)
            implements LogRecord {}

    /**
     * The document in force, written again within the log's retention.
     *
     * @param version its version
     * @param text the whole document
     */
    record DocumentRepublished(int version, String text) implements LogRecord {}

    /**
     * A node claims a cell. Void unless the epoch is one above the cell's present epoch.
     *
     * @param cell the cell
     * @param owner the claiming node
     * @param epoch the new epoch
     */
    record CellClaimed(CellId cell, NodeId owner, long epoch) implements LogRecord {}

    /**
     * The owner is alive. Void unless written by the owner in its epoch.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     */
    record CellHeld(CellId cell, long epoch) implements LogRecord {}

    /**
     * The owner gives the cell up; any node may claim it at once.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     */
    record CellReleased(CellId cell, long epoch) implements LogRecord {}

    /**
     * A caller's job. Void if the job is known already: the first record wins.
     *
     * @param cell the cell that is to run it
     * @param job the job
     * @param payload what the work is told
     */
    record JobAccepted(CellId cell, JobSpec job, byte[] payload) implements LogRecord {}

    /**
     * A caller's cancellation. Void if the job is unknown or finished.
     *
     * @param job the job
     */
    record JobCancelled(JobId job) implements LogRecord {}

    /**
     * The owner places an attempt; workers may prepare its parts after this is read back. Void unless written in the
     * cell's epoch, for a waiting job that may be run again, with the next attempt number.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     * @param placements one for each part
     * @param lent whether it runs on lent capacity
     */
    record AttemptPlaced(CellId cell, long epoch, AttemptId attempt, List<Placement> placements, boolean lent)
            implements LogRecord {

        /**
         * Copies the list.
         */
        public AttemptPlaced {
            placements = List.copyOf(placements);
        }
    }

    /**
     * All parts are prepared; from here on the attempt may have begun. Void unless written in the cell's epoch for a
     * placed attempt.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     */
    record AttemptReleased(CellId cell, long epoch, AttemptId attempt) implements LogRecord {}

    /**
     * An attempt ended without completing the job, which waits again. Void unless written in the cell's epoch for the
     * current attempt.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     * @param end how it ended
     */
    record AttemptEnded(CellId cell, long epoch, AttemptId attempt, AttemptEnd end) implements LogRecord {}

    /**
     * The job's final outcome. Void unless written in the cell's epoch for an unfinished job; {@code NotRun} is void
     * unless the job waits and no attempt was released, {@code Completed} unless an attempt is released.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param job the job
     * @param outcome how it ended
     */
    record JobFinished(CellId cell, long epoch, JobId job, JobOutcome outcome) implements LogRecord {}

    /**
     * Part of a snapshot of the log's state. Any node's state at an offset is the same, so it needs no epoch.
     *
     * @param snapshot number of the snapshot, unique for its writer
     * @param index index of the chunk, from 0
     * @param writers writers whose records may still be repeated
     * @param cells cells
     * @param jobs jobs that are unfinished, or finished and not forgotten
     */
    record SnapshotChunk(
            long snapshot, int index, List<WriterSnapshot> writers, List<CellSnapshot> cells, List<JobSnapshot> jobs)
            implements LogRecord {

        /**
         * Copies the lists.
         */
        public SnapshotChunk {
            writers = List.copyOf(writers);
            cells = List.copyOf(cells);
            jobs = List.copyOf(jobs);
        }
    }

    /**
     * Ends a snapshot. Void, and the snapshot ignored, unless all its chunks stand before it.
     *
     * @param snapshot number of the snapshot
     * @param chunks number of its chunks
     * @param upToOffset offset of the first record that is not contained
     * @param logTimeMs latest writer's time in ms since the epoch that is contained
     * @param documentVersion version of the document in force; 0 for none
     * @param documentText the whole document, so that it stands in the log within the retention
     */
    record SnapshotDone(
            long snapshot, int chunks, long upToOffset, long logTimeMs, int documentVersion, String documentText)
            implements LogRecord {}

    /**
     * A record of a kind that this version does not know; kept, without effect.
     *
     * @param kind its kind
     */
    record Unrecognised(String kind) implements LogRecord {}
}
