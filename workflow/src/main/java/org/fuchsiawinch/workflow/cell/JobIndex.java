package org.fuchsiawinch.workflow.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Index of jobs and their phases, built from the cell's records for replies to callers. Not thread-safe. */
public final class JobIndex {

    private final Map<String, JobSummary> jobs = new HashMap<>();

    /**
     * Summary of a job.
     *
     * @param queue name of its queue
     * @param workspace its workspace; empty until the record of its acceptance is applied
     * @param phase its phase as last stored by the owner
     * @param cancelRequested whether a request to cancel it was accepted
     */
    public record JobSummary(String queue, Optional<WorkspaceId> workspace, JobPhase phase, boolean cancelRequested) {

        private static final JobSummary UNKNOWN = new JobSummary("", Optional.empty(), JobPhase.QUEUED, false);

        /**
         * Returns the phase to report to callers: CANCELLED from the acceptance of a cancel request, unless the job has
         * ended.
         *
         * @return the phase
         */
        public JobPhase reportedPhase() {
            return cancelRequested && !phase.ended() ? JobPhase.CANCELLED : phase;
        }
    }

    /**
     * Applies a record of the cell's stream.
     *
     * @param record the record
     */
    public void apply(CellRecord record) {
        if (record instanceof CellRecord.Accepted accepted) {
            String id = accepted.submission().id();
            JobSummary known = jobs.getOrDefault(id, JobSummary.UNKNOWN);
            jobs.put(
                    id,
                    new JobSummary(
                            accepted.submission().queue().intern(),
                            Optional.of(accepted.submission().workspace()),
                            known.phase(),
                            known.cancelRequested()));
        } else if (record instanceof CellRecord.Progress progress) {
            JobSummary known = jobs.getOrDefault(progress.job(), JobSummary.UNKNOWN);
            jobs.put(
                    progress.job(),
                    new JobSummary(
                            progress.queue().intern(), known.workspace(), progress.phase(), known.cancelRequested()));
        } else if (record instanceof CellRecord.CancelRequested request) {
            jobs.computeIfPresent(
                    request.job(),
                    (id, known) -> new JobSummary(known.queue(), known.workspace(), known.phase(), true));
        } else if (record instanceof CellRecord.Removed removed
                && removed.key().startsWith(CellRecord.Accepted.PREFIX)) {
            jobs.remove(removed.key().substring(CellRecord.Accepted.PREFIX.length()));
        }
    }

    /**
     * Finds a job.
     *
     * @param id the job's id, chosen by the caller
     * @return its summary, or empty if the job is unknown
     */
    public Optional<JobSummary> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns the number of a queue's jobs that are reported as QUEUED.
     *
     * @param queue name of the queue
     * @return the number
     */
    public int queuedCount(String queue) {
        int count = 0;
        for (JobSummary job : jobs.values()) {
            if (job.reportedPhase() == JobPhase.QUEUED && job.queue().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** Removes all jobs, before a new snapshot is applied. */
    public void clear() {
        jobs.clear();
    }

    /**
     * Returns the number of jobs.
     *
     * @return the number
     */
    public int size() {
        return jobs.size();
    }
}
