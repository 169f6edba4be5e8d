package org.fuchsiawinch.core.internal;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;

/**
 * Frees capacity for a reserved large job by moving checkpointable work to other workers, provided that the accelerator
 * time that the job gains is worth more than the moves cost. Not thread-safe.
 */
final class Defragmenter {

    private static final int MAX_MOVES = 8;
    private static final long MIN_RUN_BEFORE_MOVE_MS = 60_000;
    private static final double SCORE_PER_ACCELERATOR = 1_000;

    private final State state;
    private final Starter starter;
    private final Reservations reservations;

    private Reservations.Reservation tried;

    Defragmenter(State state, Starter starter, Reservations reservations) {
        this.state = state;
        this.starter = starter;
        this.reservations = reservations;
    }

    /** Allows the current reservation to be evaluated again. */
    void tick() {
        tried = null;
    }

    /**
     * Claims capacity for the reserved job if the policy allows moves and they pay off. Evaluates each reservation once
     * per tick.
     */
    void run() {
        if (!state.has(SchedulerFeature.DEFRAGMENTATION) || migrationMicros() < 0) {
            return;
        }
        Optional<Reservations.Reservation> current = reservations.current().filter(reserved -> reserved != tried);
        tried = current.orElse(tried);
        current.filter(reserved -> reserved.job().jobClass() != null)
                .flatMap(this::plan)
                .ifPresent(claim -> {
                    reservations.drop(claim.job());
                    starter.claim(claim, StopCause.DEFRAGMENT);
                });
    }

    private Optional<Claim> plan(Reservations.Reservation reserved) {
        Job job = reserved.job();
        long gainMs = reserved.startMs() - state.nowMs() - checkpointMs();
        if (gainMs <= 0) {
            return Optional.empty();
        }
        Resources part = job.jobClass().key().part();
        Shape shape = job.spec().shape();
        boolean firm = !state.lendable(job);
        PlaceRequest request = PlaceRequest.of(shape.parts(), part, shape.adjacency(), Space.ANY)
                .avoiding(job.avoid())
                .limitedBy((worker, room) -> clearable(worker, part, firm))
                .chargedBy(gang -> moved(gang, part));
        return state.placer.place(request).flatMap(gang -> state.victims
                .choose(gang, part, state.nowMs(), this::movable)
                .filter(victims -> worthwhile(job, victims, gainMs) && fitElsewhere(gang, victims))
                .map(victims -> new Claim(job, null, gang, part, null, victims, state.nowMs())));
    }

    private boolean movable(Attempt attempt) {
        return attempt.standing() != Standing.GUARANTEED
                && !attempt.stopping()
                && attempt.job().spec().checkpointable()
                && attempt.job().spec().idempotent()
                && state.nowMs() - attempt.startedMs() >= MIN_RUN_BEFORE_MOVE_MS;
    }

    /** Returns how many parts fit on a worker once all movable work has left it. */
    private int clearable(Worker worker, Resources part, boolean firm) {
        Amounts busy = new Amounts();
        busy.add(worker.used(), 1);
        busy.add(worker.held(), 1);
        worker.attempts().stream().filter(this::movable).forEach(attempt -> Occupancy.subtract(busy, attempt, worker));
        int room = busy.room(worker.capacity(), part);
        return firm ? Math.min(room, worker.room(Space.CLAIMABLE, part, false)) : room;
    }

    private double moved(Gang gang, Resources part) {
        return state.victims
                .choose(gang, part, state.nowMs(), this::movable)
                .map(Defragmenter::accelerators)
                .map(moved -> moved * SCORE_PER_ACCELERATOR)
                .orElse(Double.MAX_VALUE / 2);
    }

    private boolean worthwhile(Job job, List<Attempt> victims, long gainMs) {
        if (victims.isEmpty() || victims.size() > MAX_MOVES) {
            return false;
        }
        double lostMs = (double) accelerators(victims) * checkpointMs();
        double gainedMs = (double) job.accelerators() * gainMs;
        long gain = Prices.of(starter.rate(false), (long) Math.max(0, gainedMs - lostMs));
        return gainedMs > lostMs && gain >= migrationMicros() * victims.size();
    }

    /**
     * Returns whether all moved work fits on free capacity outside the cleared workers now. Holds each place found
     * during the search, so that two moves are not given the same capacity.
     */
    private boolean fitElsewhere(Gang cleared, List<Attempt> victims) {
        int placed = 0;
        Gang[] places = new Gang[victims.size()];
        while (placed < places.length) {
            Attempt victim = victims.get(placed);
            Shape shape = victim.job().spec().shape();
            Space space = victim.standing() == Standing.FIRM ? Space.SPARE : Space.FREE;
            Optional<Gang> place =
                    state.placer.place(PlaceRequest.of(shape.parts(), victim.part(), shape.adjacency(), space)
                            .limitedBy((worker, room) -> cleared.uses(worker) ? 0 : room));
            if (place.isEmpty()) {
                break;
            }
            places[placed++] = place.get();
            Occupancy.hold(place.get(), victim.part(), 1);
        }
        for (int i = 0; i < placed; i++) {
            Occupancy.hold(places[i], victims.get(i).part(), -1);
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
