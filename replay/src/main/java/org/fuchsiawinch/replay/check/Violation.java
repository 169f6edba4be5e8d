package org.fuchsiawinch.replay.check;

import java.util.Optional;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Violation of a promise.
 *
 * @param promise the broken promise
 * @param atMs time in ms from the start of the trace
 * @param job the affected job, if any
 * @param worker the affected worker, if any
 * @param workspace the workspace, if the violation concerns it as a whole
 */
public record Violation(
        Promise promise, long atMs, Optional<JobId> job, Optional<WorkerId> worker, Optional<WorkspaceId> workspace) {

    static Violation ofJob(Promise promise, long atMs, JobId job) {
        return new Violation(promise, atMs, Optional.of(job), Optional.empty(), Optional.empty());
    }

    static Violation ofWorker(Promise promise, long atMs, JobId job, WorkerId worker) {
        return new Violation(promise, atMs, Optional.of(job), Optional.of(worker), Optional.empty());
    }

    static Violation ofWorkspace(Promise promise, long atMs, WorkspaceId workspace) {
        return new Violation(promise, atMs, Optional.empty(), Optional.empty(), Optional.of(workspace));
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("promise=" + promise + " at_ms=" + atMs);
        job.ifPresent(id -> text.append(" job=").append(id));
        worker.ifPresent(id -> text.append(" worker=").append(id));
        workspace.ifPresent(id -> text.append(" workspace=").append(id));
        return text.toString();
    }
}
