package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;

/**
 * Selects the attempts to stop so that a gang fits, with the least lost work. Capacity of attempts that are already
 * stopping counts as free; capacity held for other starts does not. Not thread-safe.
 */
final class VictimSelector {

    private final boolean cheapest;
    private LendingPolicy lending = new LendingPolicy(false, 0, 0);

    VictimSelector(SchedulerFeatures features) {
        this.cheapest = features.has(SchedulerFeature.CHEAPEST_VICTIMS);
    }

    void lending(LendingPolicy policy) {
        lending = policy;
    }

    /** Returns how an attempt is stopped for a reclaim: with a checkpoint if that ends within the reclaim bound. */
    StopMode mode(Attempt attempt) {
        boolean inTime = lending.checkpointMs() <= lending.reclaimBoundMs();
        return attempt.job().spec().checkpointable() && inTime ? StopMode.CHECKPOINT : StopMode.STOP;
    }

    /** Returns the work lost by stopping an attempt, in ms times accelerators. */
    double lostWork(Attempt attempt, long nowMs) {
        long elapsedMs = Math.max(0, nowMs - attempt.startedMs());
        long lostMs = mode(attempt) == StopMode.CHECKPOINT ? Math.min(elapsedMs, lending.checkpointMs()) : elapsedMs;
        return (double) lostMs * Math.max(1, attempt.accelerators());
    }

    /** Returns the sum of the work lost by stopping attempts, in ms times accelerators. */
    double lostWork(List<Attempt> attempts, long nowMs) {
        return attempts.stream()
                .mapToDouble(attempt -> lostWork(attempt, nowMs))
                .sum();
    }

    /**
     * Selects victims for a gang among the lent attempts.
     *
     * @return the attempts to stop, none if all capacity is free or about to be; {@code Optional.empty()} if stopping
     *     all lent attempts is not enough
     */
    Optional<List<Attempt>> select(GangPlacement placement, Resources perPart, long nowMs) {
        return select(
                placement, perPart, nowMs, attempt -> attempt.entitlement() == Entitlement.LENT && !attempt.stopping());
    }

    /**
     * Selects victims for a gang among the attempts that match.
     *
     * @return the attempts to stop, none if all capacity is free or about to be; {@code Optional.empty()} if stopping
     *     all matching attempts is not enough
     */
    Optional<List<Attempt>> select(
            GangPlacement placement, Resources perPart, long nowMs, Predicate<Attempt> eligible) {
        List<Shortage> shortages = shortages(placement, perPart);
        if (shortages.isEmpty()) {
            return Optional.of(List.of());
        }
        List<Attempt> candidates = candidates(shortages, nowMs, eligible);
        List<Attempt> selected = new ArrayList<>();
        for (Attempt candidate : candidates) {
            if (shortages.stream().allMatch(Shortage::met)) {
                break;
            }
            if (shortages.stream()
                    .anyMatch(
                            shortage -> !shortage.met() && candidate.placement().uses(shortage.worker))) {
                shortages.forEach(shortage -> shortage.countStopped(candidate, 1));
                selected.add(candidate);
            }
        }
        if (!shortages.stream().allMatch(Shortage::met)) {
            return Optional.empty();
        }
        prune(selected, shortages);
        return Optional.of(selected);
    }

    private List<Attempt> candidates(List<Shortage> shortages, long nowMs, Predicate<Attempt> eligible) {
        LinkedHashSet<Attempt> found = new LinkedHashSet<>();
        for (Shortage shortage : shortages) {
            for (Attempt attempt : shortage.worker.attempts()) {
                if (eligible.test(attempt)) {
                    found.add(attempt);
                }
            }
        }
        List<Attempt> candidates = new ArrayList<>(found);
        Comparator<Attempt> order = Comparator.comparingDouble(attempt -> lostWork(attempt, nowMs));
        candidates.sort(cheapest ? order : order.reversed());
        return candidates;
    }

    /** Removes victims that are not needed, starting with the last one selected. */
    private static void prune(List<Attempt> selected, List<Shortage> shortages) {
        for (int i = selected.size() - 1; i >= 0; i--) {
            Attempt attempt = selected.get(i);
            shortages.forEach(shortage -> shortage.countStopped(attempt, -1));
            if (shortages.stream().allMatch(Shortage::met)) {
                selected.remove(i);
            } else {
                shortages.forEach(shortage -> shortage.countStopped(attempt, 1));
            }
        }
    }

    private static List<Shortage> shortages(GangPlacement placement, Resources perPart) {
        List<Shortage> shortages = new ArrayList<>();
        for (int i = 0; i < placement.workers().length; i++) {
            Shortage shortage =
                    new Shortage(placement.workers()[i], perPart, placement.counts()[i]);
            if (!shortage.met()) {
                shortages.add(shortage);
            }
        }
        return shortages;
    }

    /** The resources that a worker lacks once all stopping attempts have stopped. */
    private static final class Shortage {

        private final Worker worker;
        private final MutableResources missing = new MutableResources();

        private Shortage(Worker worker, Resources perPart, int count) {
            this.worker = worker;
            missing.add(perPart, count);
            missing.add(worker.used(), 1);
            missing.add(worker.held(), 1);
            missing.add(worker.stopping(), -1);
            missing.add(worker.capacity(), -1);
        }

        private boolean met() {
            return missing.cpuMillis() <= 0
                    && missing.memoryMb() <= 0
                    && missing.accelerators() <= 0
                    && missing.slots() <= 0
                    && missing.connections() <= 0;
        }

        private void countStopped(Attempt attempt, int sign) {
            Worker[] workers = attempt.placement().workers();
            for (int i = 0; i < workers.length; i++) {
                if (workers[i] == worker) {
                    missing.add(attempt.perPart(), -sign * attempt.placement().counts()[i]);
                    missing.addMemory(-sign
                            * attempt.addedMemoryMb()
                            * attempt.placement().counts()[i]);
                }
            }
        }
    }
}
