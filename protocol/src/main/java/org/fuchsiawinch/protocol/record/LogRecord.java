package org.fuchsiawinch.protocol.record;

import java.util.List;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Placement;

/**
 * Content of a log record. A record that breaks a rule at its offset is void, that is without effect, for every reader
 * alike.
 */
public sealed interface LogRecord {

    /**
     * First version of the document. Void if a document is already in force.
     *
     * @param text the whole document
     */
    record DocumentFounded(String text) implements LogRecord {}

    /**
     * Proposal to change one section of the document. Void unless its base version is the version in force and it
     * carries a valid signature of the team that owns the section.
     *
     * @param team the signing team
     * @param section name of the section
     * @param baseVersion document version that the change is based on
     * @param text new text of the section
     * @param signature Ed25519 signature in base64
     */
    record DocumentProposed(String team, String section, int baseVersion, String text, String signature)
            implements LogRecord {}

    /**
     * Repetition of the document in force, so that it is not lost when older records pass the log's retention. Comes
     * into force if no document is; void if another version or text is in force.
     *
     * @param version version of the document
     * @param text the whole document
     */
    record DocumentRepublished(int version, String text) implements LogRecord {}

    /**
     * Claim of a cell by the writing node. Void unless the epoch is one above the cell's current epoch.
     *
     * @param cell the cell
     * @param owner the claiming node
     * @param epoch the new epoch
     */
    record CellClaimed(CellId cell, NodeId owner, long epoch) implements LogRecord {}

    /**
     * Heartbeat of a cell's owner. Void unless written by the owner in its epoch.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     */
    record CellHeld(CellId cell, long epoch) implements LogRecord {}

    /**
     * Release of a cell, which any node may then claim at once. Void unless written by the owner in its epoch.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     */
    record CellReleased(CellId cell, long epoch) implements LogRecord {}

    /**
     * Acceptance of a caller's job. Void if the job is already known, so that the first record wins, or if the job is
     * not idempotent and its deadline has passed by the latest time in the log.
     *
     * @param cell the cell that is to run the job
     * @param job the job
     * @param payload input data of the job
     */
    record JobAccepted(CellId cell, JobSpec job, byte[] payload) implements LogRecord {}

    /**
     * Cancellation of a job by its caller. Void if the job is unknown, finished or already cancelled.
     *
     * @param job the job
     */
    record JobCancelled(JobId job) implements LogRecord {}

    /**
     * Placement of an attempt on workers. The owner has workers prepare its parts once it has read this record back.
     * Void unless written by the owner in its epoch, for a waiting job that may be run again, with the next attempt
     * number.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     * @param placements one placement for each part
     * @param lent whether the attempt runs on lent capacity
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
     * Release of an attempt whose parts are all prepared; from here on it may run. Void unless written by the owner in
     * its epoch for a placed attempt.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     */
    record AttemptReleased(CellId cell, long epoch, AttemptId attempt) implements LogRecord {}

    /**
     * End of an attempt that did not complete its job; the job waits again. Void unless written by the owner in its
     * epoch for the current attempt.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param attempt the attempt
     * @param end how the attempt ended
     */
    record AttemptEnded(CellId cell, long epoch, AttemptId attempt, AttemptEnd end) implements LogRecord {}

    /**
     * Final outcome of a job. Void unless written by the owner in its epoch for an unfinished job. Moreover,
     * {@code NotRun} is void unless the job waits and no attempt was ever released, and {@code Completed} is void
     * unless an attempt is released.
     *
     * @param cell the cell
     * @param epoch the owner's epoch
     * @param job the job
     * @param outcome the final outcome
     */
    record JobFinished(CellId cell, long epoch, JobId job, JobOutcome outcome) implements LogRecord {}

    /**
     * Part of a snapshot of the state folded from the log. It carries no epoch, as all nodes have the same
     * state at the same offset.
     *
     * @param snapshot number of the snapshot, unique for its writer
     * @param index index of the chunk, from 0
     * @param writers last records of the writers that may still append duplicates
     * @param cells all cells, in the first chunk
     * @param jobs unfinished jobs, and finished jobs within their retention
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
     * End of a snapshot. Void, and the snapshot ignored, unless all its chunks precede this record.
     *
     * @param snapshot number of the snapshot
     * @param chunks number of its chunks
     * @param upToOffset offset of the first record that the snapshot does not include
     * @param logTimeMs latest time of writing among the included records, as Unix time in ms
     * @param documentVersion version of the document in force; 0 if there is none
     * @param documentText whole text of the document in force, so that it is not lost when older records pass the log's
     *     retention; empty if there is none
     */
    record SnapshotDone(
            long snapshot, int chunks, long upToOffset, long logTimeMs, int documentVersion, String documentText)
            implements LogRecord {}

    /**
     * Placeholder for a record of a kind that this version does not know. The record stays in the log without effect.
     *
     * @param kind kind of the record as written
     */
    record Unrecognised(String kind) implements LogRecord {}
}
