package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
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

    /** Where the tasks of a unit go, and what has to be stopped for them. */
    private record Plan(List<WorkerState> workers, Set<ActiveRun> victims, double loss) {}

    /** The cheapest way to make room for one task on a worker. */
    private record Clearing(WorkerState worker, List<ActiveRun> victims, double loss) {}

    /** Claims room for each task of the unit, and orders the stops that it takes. */
    void claim(Unit unit, Placer placer, Set<JobState> guaranteed, long nowMs) {
        Optional<Plan> plan = Optional.empty();
        if (unit.rackBound()) {
            plan = placer.racks().stream()
                    .map(rack -> plan(unit, rack, placer, guaranteed))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Plan::loss));
        }
        if (plan.isEmpty()) {
            plan = plan(unit, placer.usable(), placer, guaranteed);
        }
        if (plan.isEmpty()) {
            state.log.line(
                    "reclaim-failed",
                    "request",
                    unit.job().submission().id(),
                    "step",
                    unit.step(),
                    "usableWorkers",
                    placer.usable().size());
            return;
        }
        plan.get().workers().forEach(worker -> placer.take(worker, unit.spec().perTask()));
        plan.get().victims().forEach(victim -> runs.stop(victim, "reclaimed", nowMs));
    }

    private Optional<Plan> plan(Unit unit, List<WorkerState> workers, Placer placer, Set<JobState> guaranteed) {
        Resources need = unit.spec().perTask();
        List<WorkerState> open =
                workers.stream().filter(worker -> Placer.allows(worker, unit)).toList();
        Map<WorkerState, Resources> taken = new HashMap<>();
        Plan plan = new Plan(new ArrayList<>(), new LinkedHashSet<>(), 0);
        for (int i = 0; i < unit.indexes().size(); i++) {
            Plan soFar = plan;
            Optional<Clearing> best = open.stream()
                    .map(worker -> clear(
                            worker,
                            placer.room(worker).minus(taken.getOrDefault(worker, Resources.NONE)),
                            need,
                            soFar.victims(),
                            guaranteed))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Clearing::loss));
            if (best.isEmpty()) {
                return Optional.empty();
            }
            Clearing clearing = best.get();
            taken.merge(clearing.worker(), need, Resources::plus);
            plan.workers().add(clearing.worker());
            plan.victims().addAll(clearing.victims());
            plan = new Plan(plan.workers(), plan.victims(), plan.loss() + clearing.loss());
        }
        return Optional.of(plan);
    }

    private static Optional<Clearing> clear(
            WorkerState worker, Resources freeRoom, Resources need, Set<ActiveRun> stopped, Set<JobState> guaranteed) {
        Resources room = freeRoom;
        List<ActiveRun> candidates = new ArrayList<>();
        for (ActiveRun run : worker.runs.values()) {
            if (run.stopping || stopped.contains(run)) {
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
        return need.fitsIn(room) ? Optional.of(new Clearing(worker, victims, loss)) : Optional.empty();
    }

    /** Gives the core-seconds that are lost if a run is stopped, with those of the other members of its gang. */
    private static double loss(ActiveRun run) {
        double kept = run.step().checkpoints() ? CHECKPOINT_LOSS : 1;
        double progress = Math.max(1, run.percent) / PERCENT * kept;
        int members = run.step().gang() ? run.step().count() : 1;
        return members * progress * JobWorth.work(run.need, run.step().estimatedMs());
    }
}
