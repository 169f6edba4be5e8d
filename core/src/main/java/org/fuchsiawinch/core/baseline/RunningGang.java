package org.fuchsiawinch.core.baseline;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.WorkerId;

/** A running attempt and the capacity that it uses. Not thread-safe. */
final class RunningGang {

    final AttemptId id;
    final JobSpec job;
    final List<Placement> placements;
    final long estimatedEndMs;
    final Set<Integer> completedParts = new HashSet<>();
    final Set<WorkerId> lostWorkers = new HashSet<>();
    boolean stopping;
    boolean cancelled;

    RunningGang(AttemptId id, JobSpec job, List<Placement> placements, long estimatedEndMs) {
        this.id = id;
        this.job = job;
        this.placements = List.copyOf(placements);
        this.estimatedEndMs = estimatedEndMs;
    }

    /** Returns whether all parts have completed. */
    boolean complete() {
        return completedParts.size() == placements.size();
    }

    Optional<WorkerId> workerOf(int part) {
        return placements.stream()
                .filter(placement -> placement.part() == part)
                .map(Placement::worker)
                .findFirst();
    }

    boolean runsOn(WorkerId worker) {
        return placements.stream()
                .anyMatch(placement -> placement.worker().equals(worker) && !completedParts.contains(placement.part()));
    }
}
