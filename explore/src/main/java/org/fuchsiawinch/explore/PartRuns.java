package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.worker.TaskState;

/** Runs of parts on workers, with the times at which each part was taken, started and ended. */
final class PartRuns {

    private final Map<AttemptId, List<Run>> byAttempt = new LinkedHashMap<>();

    private PartRuns() {}

    /**
     * Run of a part on a worker, from the time at which the worker takes it, in virtual ms. It may end without having
     * started; a run that has not ended ends at {@link Long#MAX_VALUE}.
     */
    static final class Run {
        private final TaskId task;
        private final WorkerId worker;
        private final Resources resources;
        private final long takenMs;
        private Optional<Long> ranMs = Optional.empty();
        private long endedMs = Long.MAX_VALUE;
        private Optional<TaskState> end = Optional.empty();

        private Run(Observation.PartTaken taken) {
            this.task = taken.task();
            this.worker = taken.worker();
            this.resources = taken.resources();
            this.takenMs = taken.atMs();
        }

        TaskId task() {
            return task;
        }

        WorkerId worker() {
            return worker;
        }

        Resources resources() {
            return resources;
        }

        long takenMs() {
            return takenMs;
        }

        Optional<Long> ranMs() {
            return ranMs;
        }

        long endedMs() {
            return endedMs;
        }

        boolean endedIn(TaskState state) {
            return end.filter(state::equals).isPresent();
        }
    }

    static PartRuns of(History history) {
        PartRuns runs = new PartRuns();
        Map<PartOnWorker, Run> currentRuns = new HashMap<>();
        for (Observation observation : history.observations()) {
            if (observation instanceof Observation.PartTaken taken) {
                Run run = new Run(taken);
                currentRuns.put(new PartOnWorker(taken.worker(), taken.task()), run);
                runs.byAttempt
                        .computeIfAbsent(taken.task().attempt(), id -> new ArrayList<>())
                        .add(run);
            } else if (observation instanceof Observation.PartRan ran) {
                Run run = currentRuns.get(new PartOnWorker(ran.worker(), ran.task()));
                if (run != null && run.ranMs.isEmpty()) {
                    run.ranMs = Optional.of(ran.atMs());
                }
            } else if (observation instanceof Observation.PartEnded ended) {
                Run run = currentRuns.remove(new PartOnWorker(ended.worker(), ended.task()));
                if (run != null) {
                    run.endedMs = ended.atMs();
                    run.end = Optional.of(ended.state());
                }
            }
        }
        return runs;
    }

    /** Returns the runs of the parts of each attempt. */
    Map<AttemptId, List<Run>> byAttempt() {
        return byAttempt;
    }

    /** Returns the runs of all attempts. */
    List<Run> all() {
        return byAttempt.values().stream().flatMap(List::stream).toList();
    }

    /** Returns whether any part of a job started to run. */
    boolean ran(JobId job) {
        return all().stream().anyMatch(run -> run.task.attempt().job().equals(job) && run.ranMs.isPresent());
    }

    private record PartOnWorker(WorkerId worker, TaskId task) {}
}
