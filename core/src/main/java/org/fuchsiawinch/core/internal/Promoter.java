package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Promotes a workspace's lent or non-preemptible attempts to its guarantee, moving the guarantee to the workers on
 * which they run if necessary. Not thread-safe.
 */
final class Promoter {

    private static final int MAX_TRIED = 16;

    private final State state;
    private final Starter starter;
    private final Explainer explainer;

    Promoter(State state, Starter starter) {
        this.state = state;
        this.starter = starter;
        this.explainer = new Explainer(state.features);
    }

    /** Promotes attempts of the workspaces whose guarantees gained unused capacity. */
    void run() {
        while (!state.promotable.isEmpty()) {
            WorkspaceId workspace = state.promotable.pollFirst();
            if (state.has(SchedulerFeature.PROMOTION)) {
                state.ledger(workspace).outside().stream()
                        .filter(attempt -> !attempt.stopping())
                        .limit(MAX_TRIED)
                        .toList()
                        .forEach(this::promote);
            }
        }
    }

    /**
     * Promotes an attempt if its workspace's guarantee has unused capacity and the spending limit allows the new price;
     * returns whether it did.
     */
    boolean promote(Attempt attempt) {
        return promote(attempt, state.has(SchedulerFeature.SPEND_LIMIT));
    }

    /** Promotes a recovered attempt without a check of the spending limit, which admitted the cost at its start. */
    boolean promoteRecovered(Attempt attempt) {
        return promote(attempt, false);
    }

    private boolean promote(Attempt attempt, boolean limited) {
        WorkspaceLedger ledger = state.ledger(attempt.job().spec().workspace());
        long rate = starter.rate(false) * attempt.accelerators();
        long worst = ledger.worst(rate, attempt.estimate().worstMs());
        if (attempt.standing() == Standing.LENT && limited && !ledger.limitAllows(worst, state.nowMs())) {
            return false;
        }
        Standing before = attempt.standing();
        Optional<GuaranteeUnit> unit = fit(attempt);
        if (unit.isEmpty()) {
            return false;
        }
        ledger.outside().remove(attempt);
        ledger.reprice(attempt, rate, state.nowMs());
        if (before == Standing.LENT) {
            state.emit(new Decision.PromoteGang(
                    attempt.id(),
                    explainer.of(ReasonCode.PROMOTED_TO_GUARANTEE, worst, attempt.estimate(), Optional.empty())));
        }
        return true;
    }

    /** Adds an attempt to a unit of its workspace whose place contains the attempt's workers or can be moved there. */
    Optional<GuaranteeUnit> fit(Attempt attempt) {
        Shape wanted = attempt.job().spec().shape();
        for (GuaranteeUnit unit : state.keeper.units(attempt.job().spec().workspace())) {
            if (unit.placed() && !unit.full() && inside(unit, attempt)) {
                enter(attempt, unit);
                return Optional.of(unit);
            }
        }
        for (GuaranteeUnit unit : state.keeper.units(attempt.job().spec().workspace())) {
            boolean movable = unit.empty() && GuaranteeClaimer.covers(unit.shape(), wanted);
            if (movable && moveAround(unit, attempt)) {
                return Optional.of(unit);
            }
        }
        return Optional.empty();
    }

    private static boolean inside(GuaranteeUnit unit, Attempt attempt) {
        Gang gang = attempt.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            if (unit.room(gang.workers()[i], attempt.part()) < gang.counts()[i]) {
                return false;
            }
        }
        return Arrays.stream(gang.workers()).distinct().count() == gang.workers().length;
    }

    private static void enter(Attempt attempt, GuaranteeUnit unit) {
        if (attempt.standing() == Standing.FIRM) {
            Occupancy.commit(attempt, -1);
        }
        attempt.stand(Standing.GUARANTEED, unit);
        unit.attempts().add(attempt);
        attempt.excessMemoryMb(unit.take(attempt.gang(), attempt.part()));
    }

    private boolean moveAround(GuaranteeUnit unit, Attempt attempt) {
        Gang before = unit.location();
        if (unit.placed()) {
            unit.unplace();
        }
        boolean firm = attempt.standing() == Standing.FIRM;
        if (firm) {
            Occupancy.commit(attempt, -1);
        }
        Optional<Gang> around = around(unit.shape(), attempt);
        if (firm) {
            Occupancy.commit(attempt, 1);
        }
        if (around.isPresent()) {
            unit.place(around.get());
            enter(attempt, unit);
            if (!overCommits(attempt)) {
                return true;
            }
            leave(attempt, unit, firm);
        }
        if (before != null) {
            unit.place(before);
        }
        return false;
    }

    private static boolean overCommits(Attempt attempt) {
        return Arrays.stream(attempt.gang().workers()).anyMatch(Worker::overCommitted);
    }

    private static void leave(Attempt attempt, GuaranteeUnit unit, boolean firm) {
        unit.give(attempt.gang(), attempt.part(), attempt.excessMemoryMb());
        unit.attempts().remove(attempt);
        attempt.excessMemoryMb(null);
        attempt.stand(firm ? Standing.FIRM : Standing.LENT, null);
        if (firm) {
            Occupancy.commit(attempt, 1);
        }
        unit.unplace();
    }

    /** Finds a placement of a guaranteed shape that contains the workers of an attempt. */
    private Optional<Gang> around(Shape shape, Attempt attempt) {
        Gang gang = attempt.gang();
        int[] taken = new int[gang.workers().length];
        int left = shape.parts();
        for (int i = 0; i < taken.length; i++) {
            Worker worker = gang.workers()[i];
            taken[i] = unitParts(shape.perPart(), attempt.part(), gang.counts()[i]);
            left -= taken[i];
            boolean room = worker.open() && worker.room(Space.CLAIMABLE, shape.perPart(), false) >= taken[i];
            if (!room || left < 0 || !sameDomain(shape, gang.workers()[0], worker)) {
                return Optional.empty();
            }
        }
        if (left == 0) {
            return Optional.of(new Gang(gang.workers(), taken));
        }
        PlaceRequest rest = PlaceRequest.of(left, shape.perPart(), shape.adjacency(), Space.CLAIMABLE)
                .limitedBy((worker, room) ->
                        sameDomain(shape, gang.workers()[0], worker) ? room - partsOn(gang, taken, worker) : 0);
        return state.placer.place(rest).map(more -> merge(gang, taken, more));
    }

    private static Gang merge(Gang gang, int[] taken, Gang more) {
        List<Worker> workers = new ArrayList<>(List.of(gang.workers()));
        List<Integer> counts = new ArrayList<>();
        for (int count : taken) {
            counts.add(count);
        }
        for (int i = 0; i < more.workers().length; i++) {
            int at = workers.indexOf(more.workers()[i]);
            if (at < 0) {
                workers.add(more.workers()[i]);
                counts.add(more.counts()[i]);
            } else {
                counts.set(at, counts.get(at) + more.counts()[i]);
            }
        }
        return new Gang(
                workers.toArray(Worker[]::new),
                counts.stream().mapToInt(Integer::intValue).toArray());
    }

    private static int partsOn(Gang gang, int[] taken, Worker worker) {
        int parts = 0;
        for (int i = 0; i < taken.length; i++) {
            if (gang.workers()[i] == worker) {
                parts += taken[i];
            }
        }
        return parts;
    }

    private static boolean sameDomain(Shape shape, Worker first, Worker other) {
        if (first.rack() == null || other.rack() == null) {
            return false;
        }
        return switch (shape.adjacency()) {
            case WORKER -> first == other;
            case RACK -> first.rack() == other.rack();
            default -> first.rack().dataCentre() == other.rack().dataCentre();
        };
    }

    /** Returns how many guaranteed parts the given parts of an attempt need; ignores memory. */
    private static int unitParts(Resources guaranteed, Resources part, int count) {
        int parts = ratio(part.accelerators() * count, guaranteed.accelerators());
        parts = Math.max(parts, ratio(part.cpuMillis() * count, guaranteed.cpuMillis()));
        parts = Math.max(parts, ratio(part.slots() * count, guaranteed.slots()));
        return Math.max(1, Math.max(parts, ratio(part.connections() * count, guaranteed.connections())));
    }

    private static int ratio(int need, int each) {
        return each <= 0 ? 0 : (need + each - 1) / each;
    }
}
