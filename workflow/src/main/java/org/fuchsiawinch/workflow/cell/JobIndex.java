package org.fuchsiawinch.workflow.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Phase of each job, folded from the cell's records, for answers to callers. Not thread-safe. */
public final class JobIndex {

    private final Map<String, Entry> jobs = new HashMap<>();

    /**
     * What is known of a job.
     *
     * @param queue name of its queue
     * @param workspace its workspace; empty while only its progress is known
     * @param phase its phase
     * @param cancelAsked whether its cancelling was accepted
     */
    public record Entry(String queue, Optional<WorkspaceId> workspace, JobPhase phase, boolean cancelAsked) {

        private static final Entry NOTHING = new Entry("", Optional.empty(), JobPhase.QUEUED, false);

        /**
         * Gives the phase that a caller is told: a job whose cancelling was accepted does not run on.
         *
         * @return the phase
         */
        public JobPhase shownPhase() {
            return cancelAsked && !phase.ended() ? JobPhase.CANCELLED : phase;
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
            Entry known = jobs.getOrDefault(id, Entry.NOTHING);
            jobs.put(
                    id,
                    new Entry(
                            accepted.submission().queue().intern(),
                            Optional.of(accepted.submission().workspace()),
                            known.phase(),
                            known.cancelAsked()));
        } else if (record instanceof CellRecord.Progress progress) {
            Entry known = jobs.getOrDefault(progress.job(), Entry.NOTHING);
            jobs.put(
                    progress.job(),
                    new Entry(progress.queue().intern(), known.workspace(), progress.phase(), known.cancelAsked()));
        } else if (record instanceof CellRecord.CancelAsked asked) {
            jobs.computeIfPresent(
                    asked.job(), (id, known) -> new Entry(known.queue(), known.workspace(), known.phase(), true));
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
    public Optional<Entry> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Counts the jobs of a queue of which nothing has started.
     *
     * @param queue name of the queue
     * @return the number
     */
    public int pending(String queue) {
        int count = 0;
        for (Entry job : jobs.values()) {
            if (job.shownPhase() == JobPhase.QUEUED && job.queue().equals(queue)) {
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
