package org.fuchsiawinch.core.internal;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;

/**
 * Frees capacity for the large job with the reservation by moving checkpointable work to other workers, provided that
 * the accelerator time that the job gains is worth more than the moves cost. Not thread-safe.
 */
final class Defragmenter {

    private static final int MAX_MOVES = 8;
    private static final long MIN_RUN_BEFORE_MOVE_MS = 60_000;
    /** Outweighs the score of a placement, so that the fewest moved accelerators decide before the objective. */
    private static final double PENALTY_PER_MOVED_ACCELERATOR = 1_000;

    private final SchedulerState state;
    private final JobStarter starter;
    private final Reservations reservations;

    private Reservations.Reservation evaluated;

    Defragmenter(SchedulerState state, JobStarter starter, Reservations reservations) {
        this.state = state;
        this.starter = starter;
        this.reservations = reservations;
    }

    /** Allows the current reservation to be evaluated again. */
    void tick() {
        evaluated = null;
    }

    /**
     * Claims capacity for the job with the reservation if the policy allows moves and they pay off. Evaluates each
     * reservation once per tick.
     */
    void run() {
        if (!state.has(SchedulerFeature.DEFRAGMENTATION) || migrationMicros() < 0) {
            return;
        }
        Optional<Reservations.Reservation> current = reservations.current().filter(reserved -> reserved != evaluated);
        evaluated = current.orElse(evaluated);
        current.filter(reserved -> reserved.job().jobClass() != null)
                .flatMap(this::planMoves)
                .ifPresent(claim -> {
                    reservations.drop(claim.job());
                    starter.claim(claim, StopCause.DEFRAGMENT);
                });
    }

    private Optional<Claim> planMoves(Reservations.Reservation reserved) {
        Job job = reserved.job();
        long gainMs = reserved.startMs() - state.nowMs() - checkpointMs();
        if (gainMs <= 0) {
            return Optional.empty();
        }
        Resources perPart = job.jobClass().key().perPart();
        Shape shape = job.spec().shape();
        boolean nonPreemptible = !state.lendable(job);
        PlacementRequest request = PlacementRequest.of(shape.parts(), perPart, shape.adjacency(), CapacityScope.ANY)
                .avoiding(job.avoid())
                .limitedBy((worker, fitting) -> fittingPartsAfterMoves(worker, perPart, nonPreemptible))
                .penalizedBy(placement -> moveCost(placement, perPart));
        return state.placer.place(request).flatMap(placement -> state.victimSelector
                .select(placement, perPart, state.nowMs(), this::movable)
                .filter(victims -> worthwhile(job, victims, gainMs) && fitElsewhere(placement, victims))
                .map(victims -> new Claim(job, null, placement, perPart, null, victims, state.nowMs())));
    }

    private boolean movable(Attempt attempt) {
        return attempt.entitlement() != Entitlement.GUARANTEED
                && !attempt.stopping()
                && attempt.job().spec().checkpointable()
                && attempt.job().spec().idempotent()
                && state.nowMs() - attempt.startedMs() >= MIN_RUN_BEFORE_MOVE_MS;
    }

    /** Returns how many parts fit on a worker once all movable work has left it. */
    private int fittingPartsAfterMoves(Worker worker, Resources perPart, boolean nonPreemptible) {
        MutableResources busy = new MutableResources();
        busy.add(worker.used(), 1);
        busy.add(worker.held(), 1);
        worker.attempts().stream()
                .filter(this::movable)
                .forEach(attempt -> CapacityAccounting.subtract(busy, attempt, worker));
        int fitting = busy.fittingParts(worker.capacity(), perPart);
        return nonPreemptible
                ? Math.min(fitting, worker.fittingParts(CapacityScope.CLAIMABLE, perPart, false))
                : fitting;
    }

    /**
     * Returns the score penalty for the accelerators to move, or a prohibitive one if moves cannot free the capacity.
     */
    private double moveCost(GangPlacement placement, Resources perPart) {
        return state.victimSelector
                .select(placement, perPart, state.nowMs(), this::movable)
                .map(Defragmenter::accelerators)
                .map(accelerators -> accelerators * PENALTY_PER_MOVED_ACCELERATOR)
                .orElse(Double.MAX_VALUE / 2);
    }

    private boolean worthwhile(Job job, List<Attempt> victims, long gainMs) {
        if (victims.isEmpty() || victims.size() > MAX_MOVES) {
            return false;
        }
        double lostMs = (double) accelerators(victims) * checkpointMs();
        double gainedMs = (double) job.accelerators() * gainMs;
        long gain = Prices.of(starter.acceleratorHourMicros(false), (long) Math.max(0, gainedMs - lostMs));
        return gainedMs > lostMs && gain >= migrationMicros() * victims.size();
    }

    /**
     * Returns whether all moved work fits on free capacity outside the cleared workers now. Holds each place found
     * during the search, so that two moves are not given the same capacity.
     */
    private boolean fitElsewhere(GangPlacement cleared, List<Attempt> victims) {
        int placed = 0;
        GangPlacement[] places = new GangPlacement[victims.size()];
        while (placed < places.length) {
            Attempt victim = victims.get(placed);
            Shape shape = victim.job().spec().shape();
            CapacityScope scope =
                    victim.entitlement() == Entitlement.NON_PREEMPTIBLE ? CapacityScope.SPARE : CapacityScope.FREE;
            Optional<GangPlacement> place =
                    state.placer.place(PlacementRequest.of(shape.parts(), victim.perPart(), shape.adjacency(), scope)
                            .limitedBy((worker, fitting) -> cleared.uses(worker) ? 0 : fitting));
            if (place.isEmpty()) {
                break;
            }
            places[placed++] = place.get();
            CapacityAccounting.hold(place.get(), victim.perPart(), 1);
        }
        for (int i = 0; i < placed; i++) {
            CapacityAccounting.hold(places[i], victims.get(i).perPart(), -1);
        }
        return placed == places.length;
    }

    private static int accelerators(List<Attempt> attempts) {
        return attempts.stream().mapToInt(Attempt::accelerators).sum();
    }

    private long migrationMicros() {
        return state.policy()
                .map(Policy::prices)
                .map(prices -> prices.migrationMicros())
                .orElse(-1L);
    }

    private long checkpointMs() {
        return state.policy()
                .map(Policy::lending)
                .map(lending -> lending.checkpointMs())
                .orElse(0L);
    }
}
