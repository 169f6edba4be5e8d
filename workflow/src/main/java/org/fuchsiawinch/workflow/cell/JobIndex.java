package org.fuchsiawinch.workflow.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Phase of each job, folded from the cell's records, for answers to callers. Not thread-safe. */
public final class JobIndex {

    private final Map<String, JobSummary> jobs = new HashMap<>();

    /**
     * What is known of a job.
     *
     * @param queue name of its queue
     * @param workspace its workspace; empty while only its progress is known
     * @param phase its phase
     * @param cancelRequested whether its cancelling was accepted
     */
    public record JobSummary(String queue, Optional<WorkspaceId> workspace, JobPhase phase, boolean cancelRequested) {

        private static final JobSummary NOTHING = new JobSummary("", Optional.empty(), JobPhase.QUEUED, false);

        /**
         * Gives the phase that a caller is told: a job whose cancelling was accepted does not run on.
         *
         * @return the phase
         */
        public JobPhase reportedPhase() {
            return cancelRequested && !phase.ended() ? JobPhase.CANCELLED : phase;
        }
    }

    /**
     * Takes a record.
     *
     * @param record the record
     */
    public void apply(CellRecord record) {
        if (record instanceof CellRecord.Accepted accepted) {
            String id = accepted.submission().id();
            JobSummary known = jobs.getOrDefault(id, JobSummary.NOTHING);
            jobs.put(
                    id,
                    new JobSummary(
                            accepted.submission().queue().intern(),
                            Optional.of(accepted.submission().workspace()),
                            known.phase(),
                            known.cancelRequested()));
        } else if (record instanceof CellRecord.Progress progress) {
            JobSummary known = jobs.getOrDefault(progress.job(), JobSummary.NOTHING);
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
     * @param id the caller's id
     * @return what is known of it, or empty
     */
    public Optional<JobSummary> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Counts the jobs of a queue of which nothing has started.
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

    /** Forgets all jobs, before a new snapshot is applied. */
    public void clear() {
        jobs.clear();
    }

    /**
     * Gives the number of jobs.
     *
     * @return the number
     */
    public int size() {
        return jobs.size();
    }
}
