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

    /** Cancellations by job id, of jobs whose acceptance has not been read. */
    private final Map<String, CellRecord.CancelRequested> earlyCancellations = new HashMap<>();

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
            Optional<WorkspaceId> workspace = Optional.of(accepted.submission().workspace());
            jobs.put(
                    id,
                    new JobSummary(
                            accepted.submission().queue().intern(),
                            workspace,
                            known.phase(),
                            known.cancelRequested() || cancelledEarly(id, workspace)));
        } else if (record instanceof CellRecord.Progress progress) {
            JobSummary known = jobs.getOrDefault(progress.job(), JobSummary.UNKNOWN);
            jobs.put(
                    progress.job(),
                    new JobSummary(
                            progress.queue().intern(), known.workspace(), progress.phase(), known.cancelRequested()));
        } else if (record instanceof CellRecord.CancelRequested request) {
            apply(request);
        } else if (record instanceof CellRecord.Removed removed) {
            remove(removed.key());
        }
    }

    private void apply(CellRecord.CancelRequested request) {
        JobSummary known = jobs.get(request.job());
        if (known == null || !request.appliesTo(known.workspace())) {
            earlyCancellations.put(request.job(), request);
            return;
        }
        jobs.put(request.job(), new JobSummary(known.queue(), known.workspace(), known.phase(), true));
    }

    private void remove(String key) {
        if (key.startsWith(CellRecord.Accepted.PREFIX)) {
            jobs.remove(key.substring(CellRecord.Accepted.PREFIX.length()));
        } else if (key.startsWith(CellRecord.CancelRequested.PREFIX)) {
            earlyCancellations.remove(key.substring(CellRecord.CancelRequested.PREFIX.length()));
        }
    }

    /**
     * Returns whether a job was cancelled before its acceptance was read.
     *
     * @param id the job's id, chosen by the caller
     * @param workspace workspace of the job; empty if it is not known
     * @return true if a cancellation is stored that applies to the job
     */
    public boolean cancelledEarly(String id, Optional<WorkspaceId> workspace) {
        return Optional.ofNullable(earlyCancellations.get(id))
                .filter(request -> request.appliesTo(workspace))
                .isPresent();
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

    /** Removes all jobs and cancellations, before a new snapshot is applied. */
    public void clear() {
        jobs.clear();
        earlyCancellations.clear();
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
