package org.fuchsiawinch.workflow.record;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;

/** A record of a cell's stream. The newest records of all {@linkplain #key() keys} make up the cell's state. */
public sealed interface CellRecord {

    /** Key of {@link Owner} records. */
    String OWNER_KEY = "owner";

    /**
     * Returns the key; a later record of the same key replaces this one.
     *
     * @return the key, at most 255 bytes
     */
    String key();

    /**
     * Acceptance of a job by a node. Idempotent: a second record for the same job has no effect.
     *
     * @param submission the job
     */
    record Accepted(Submission submission) implements CellRecord {

        /** Prefix of the key. */
        public static final String PREFIX = "j/";

        @Override
        public String key() {
            return PREFIX + submission.id();
        }
    }

    /**
     * Acceptance of a caller's request to cancel a job. The request also holds for a job whose acceptance is stored
     * later: the store may carry out an append seconds after the caller has given up on it.
     *
     * @param job the job's id
     * @param workspace workspace whose job is cancelled; empty if the job of any workspace is
     */
    record CancelRequested(String job, Optional<WorkspaceId> workspace) implements CellRecord {

        /** Prefix of the key. */
        public static final String PREFIX = "c/";

        /**
         * Creates a record for a job of any workspace.
         *
         * @param job the job's id
         */
        public CancelRequested(String job) {
            this(job, Optional.empty());
        }

        /**
         * Returns whether the request cancels the job of a workspace.
         *
         * @param owner workspace of the job; empty if it is not known
         * @return true if the request is for this workspace or for any
         */
        public boolean appliesTo(Optional<WorkspaceId> owner) {
            return workspace.isEmpty() || workspace.equals(owner);
        }

        @Override
        public String key() {
            return PREFIX + job;
        }
    }

    /**
     * State of a job as last stored by the owner.
     *
     * @param job the job's id
     * @param queue name of the job's queue
     * @param phase the phase
     * @param endedAtMs wall-clock time of the end in ms since the Unix epoch; 0 before it
     * @param steps the tasks of each step
     */
    record Progress(String job, String queue, JobPhase phase, long endedAtMs, List<List<TaskProgress>> steps)
            implements CellRecord {

        /** Prefix of the key. */
        public static final String PREFIX = "s/";

        /**
         * Copies the list of steps.
         */
        public Progress {
            steps = List.copyOf(steps);
        }

        @Override
        public String key() {
            return PREFIX + job;
        }
    }

    /**
     * State of a task within a {@link Progress} record.
     *
     * @param phase the phase
     * @param run number of the latest run
     * @param failures number of failed runs
     * @param lastFailedRun number of the latest run that was counted as a failure
     * @param worker worker of the current run; empty unless the task is assigned
     * @param checkpoint newest checkpoint; empty text if there is none
     */
    record TaskProgress(
            TaskPhase phase, int run, int failures, int lastFailedRun, Optional<WorkerId> worker, String checkpoint) {}

    /**
     * Claim or heartbeat of the cell's owner, or the release of its ownership.
     *
     * @param node name of the node
     * @param epoch epoch of the ownership, higher than that of any earlier owner
     * @param released whether the node has given up the cell
     * @param countsFromSending whether the owner counts the silence of the store from the sending of its appends;
     *     earlier versions of the program count it from the answers
     * @param termMs time in ms after the reading of any record of the owner in which no other node claims the cell;
     *     holds from this record on
     */
    record Owner(String node, long epoch, boolean released, boolean countsFromSending, long termMs)
            implements CellRecord {

        /** Shortest term in ms. */
        public static final long MIN_TERM_MS = 1200;

        /** Longest term in ms; bounds the time without an owner after one has died. */
        public static final long MAX_TERM_MS = 4 * MIN_TERM_MS;

        /**
         * Limits the term to its valid range.
         */
        public Owner {
            termMs = Math.max(MIN_TERM_MS, Math.min(MAX_TERM_MS, termMs));
        }

        /** Creates a record of this version of the program. */
        public Owner(String node, long epoch, boolean released, long termMs) {
            this(node, epoch, released, true, termMs);
        }

        /** Creates a record of this version of the program with the shortest term. */
        public Owner(String node, long epoch, boolean released) {
            this(node, epoch, released, MIN_TERM_MS);
        }

        @Override
        public String key() {
            return OWNER_KEY;
        }
    }

    /**
     * Workers that the owner does not reach although they may have runs.
     *
     * @param epoch epoch of the owner
     * @param leaseRestMs for each worker the time in ms, from the storing of the record, after which every lease that
     *     an owner has granted it has expired
     */
    record UnreachedWorkers(long epoch, Map<WorkerId, Long> leaseRestMs) implements CellRecord {

        /** Key of the only record of this type. */
        public static final String KEY = "unreached";

        /**
         * Copies the map.
         */
        public UnreachedWorkers {
            leaseRestMs = Map.copyOf(leaseRestMs);
        }

        @Override
        public String key() {
            return KEY;
        }
    }

    /**
     * Learned parameters of the run-time prediction, passed on to the next owner.
     *
     * @param logSpeeds natural logarithm of each worker's speed
     * @param queueErrors natural logarithm of the mean factor by which each queue's estimates exceed true run times
     * @param runTimes distributions of run times by kind
     */
    record LearnedRunTimes(
            Map<WorkerId, Double> logSpeeds, Map<String, Double> queueErrors, List<RunTimeModel.Group> runTimes)
            implements CellRecord {

        /** Key of the only record of this type. */
        public static final String KEY = "learned";

        /**
         * Copies the maps.
         */
        public LearnedRunTimes {
            logSpeeds = Map.copyOf(logSpeeds);
            queueErrors = Map.copyOf(queueErrors);
            runTimes = List.copyOf(runTimes);
        }

        /** Creates a record without distributions. */
        public LearnedRunTimes(Map<WorkerId, Double> logSpeeds, Map<String, Double> queueErrors) {
            this(logSpeeds, queueErrors, List.of());
        }

        @Override
        public String key() {
            return KEY;
        }
    }

    /**
     * Removal of the newest record of a key.
     *
     * @param key the removed key
     */
    record Removed(String key) implements CellRecord {}
}
