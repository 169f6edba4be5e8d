package org.fuchsiawinch.workflow.record;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;

/** A record of a cell's stream. The newest record of each {@link #key() key} is the cell's whole state. */
public sealed interface CellRecord {

    /** Key of the records of ownership. */
    String OWNER_KEY = "owner";

    /**
     * Gives the key under which a later record replaces this one.
     *
     * @return the key, at most 255 bytes
     */
    String key();

    /**
     * A node accepted a job. A second one for the same job changes nothing.
     *
     * @param submission the job
     */
    record Accepted(Submission submission) implements CellRecord {

        /** First characters of the key. */
        public static final String PREFIX = "j/";

        @Override
        public String key() {
            return PREFIX + submission.id();
        }
    }

    /**
     * A node accepted the cancelling of a job.
     *
     * @param job the job's id
     */
    record CancelRequested(String job) implements CellRecord {

        /** First characters of the key. */
        public static final String PREFIX = "c/";

        @Override
        public String key() {
            return PREFIX + job;
        }
    }

    /**
     * The owner's state of a job.
     *
     * @param job the job's id
     * @param queue name of the job's queue
     * @param phase the phase
     * @param endedAtMs wall-clock time of the end in ms since the epoch; 0 before it
     * @param steps the tasks of each step
     */
    record Progress(String job, String queue, JobPhase phase, long endedAtMs, List<List<TaskProgress>> steps)
            implements CellRecord {

        /** First characters of the key. */
        public static final String PREFIX = "s/";

        /**
         * Copies the list.
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
     * The state of a task.
     *
     * @param phase the phase
     * @param run number of the last run
     * @param failures number of failed runs
     * @param failedRun number of the last run whose failure was counted
     * @param worker worker of the present run
     * @param checkpoint newest checkpoint; empty text if there is none
     */
    record TaskProgress(
            TaskPhase phase, int run, int failures, int failedRun, Optional<WorkerId> worker, String checkpoint) {}

    /**
     * A node owns the cell, or has given it up.
     *
     * @param node name of the node
     * @param epoch epoch of the ownership, higher than all before
     * @param released whether the node has given it up
     */
    record Owner(String node, long epoch, boolean released) implements CellRecord {

        @Override
        public String key() {
            return OWNER_KEY;
        }
    }

    /**
     * What the owner has learned of run times, for the next owner.
     *
     * @param logSpeeds natural logarithm of each worker's speed
     * @param queueErrors natural logarithm of the error of each queue's estimates
     */
    record LearnedRunTimes(Map<WorkerId, Double> logSpeeds, Map<String, Double> queueErrors) implements CellRecord {

        /** The key. */
        public static final String KEY = "learned";

        /**
         * Copies the maps.
         */
        public LearnedRunTimes {
            logSpeeds = Map.copyOf(logSpeeds);
            queueErrors = Map.copyOf(queueErrors);
        }

        @Override
        public String key() {
            return KEY;
        }
    }

    /**
     * The newest record of a key was removed.
     *
     * @param key the key
     */
    record Removed(String key) implements CellRecord {}
}
