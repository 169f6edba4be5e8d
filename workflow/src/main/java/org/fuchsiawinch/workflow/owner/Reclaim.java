package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;

/**
 * Makes room for work inside a guarantee by stopping work outside of one, where the least is lost. The room stays
 * claimed within each pass, so that nothing else takes it while the stops go on. Not thread-safe.
 */
final class Reclaim {

    /** Share of a run's progress that is lost although it saves checkpoints: the part since the last one. */
    private static final double CHECKPOINT_LOSS = 0.2;

    private static final double PERCENT = 100;

    private final CellState state;
    private final Runs runs;

    Reclaim(CellState state, Runs runs) {
        this.state = state;
        this.runs = runs;
    }

    /** What has to be stopped on a worker to make room. */
    private record Plan(WorkerState worker, List<ActiveRun> victims, double loss) {}

    /** Claims room for each task of the unit, and orders the stops that it takes. */
    void claim(Unit unit, Placer placer, Set<JobState> guaranteed, long nowMs) {
        List<Plan> plans = new ArrayList<>();
        for (int i = 0; i < unit.indexes().size(); i++) {
            Optional<Plan> best = placer.usable().stream()
                    .filter(worker -> Placer.allows(worker, unit))
                    .map(worker -> plan(worker, unit.spec().perTask(), placer, guaranteed))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Plan::loss));
            if (best.isEmpty()) {
                state.log.line(
                        "reclaim-failed",
                        "request",
                        unit.job().submission().id(),
                        "step",
                        unit.step(),
                        "missing",
                        unit.indexes().size() - i);
                break;
            }
            plans.add(best.get());
            placer.take(best.get().worker(), unit.spec().perTask());
        }
        for (Plan plan : plans) {
            plan.victims().forEach(victim -> runs.stop(victim, "reclaimed", nowMs));
        }
    }

    private Optional<Plan> plan(WorkerState worker, Resources need, Placer placer, Set<JobState> guaranteed) {
        Resources room = placer.room(worker);
        List<ActiveRun> candidates = new ArrayList<>();
        for (ActiveRun run : worker.runs.values()) {
            if (run.stopping) {
                room = room.plus(run.need);
            } else if (!guaranteed.contains(run.job)) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparingDouble(Reclaim::loss));
        List<ActiveRun> victims = new ArrayList<>();
        double loss = 0;
        for (ActiveRun run : candidates) {
            if (need.fitsIn(room)) {
                break;
            }
            victims.add(run);
            room = room.plus(run.need);
            loss += loss(run);
        }
        return need.fitsIn(room) ? Optional.of(new Plan(worker, victims, loss)) : Optional.empty();
    }

    /** Gives the core-seconds that are lost if a run is stopped, with those of the other members of its gang. */
    private static double loss(ActiveRun run) {
        double kept = run.step().checkpoints() ? CHECKPOINT_LOSS : 1;
        double progress = Math.max(1, run.percent) / PERCENT * kept;
        int members = run.step().gang() ? run.step().count() : 1;
        return members * progress * JobWorth.work(run.need, run.step().estimatedMs());
    }
}
