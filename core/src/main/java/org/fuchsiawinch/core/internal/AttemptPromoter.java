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
final class AttemptPromoter {

    /** Upper bound on the attempts tried for each workspace and event. */
    private static final int MAX_ATTEMPTS_TRIED = 16;

    private final SchedulerState state;
    private final JobStarter starter;
    private final ReasonBuilder reasonBuilder;

    AttemptPromoter(SchedulerState state, JobStarter starter) {
        this.state = state;
        this.starter = starter;
        this.reasonBuilder = new ReasonBuilder(state.features);
    }

    /** Promotes attempts of the workspaces whose guarantees gained unused capacity. */
    void run() {
        while (!state.promotable.isEmpty()) {
            WorkspaceId workspace = state.promotable.pollFirst();
            if (state.has(SchedulerFeature.PROMOTION)) {
                state.ledger(workspace).outside().stream()
                        .filter(attempt -> !attempt.stopping())
                        .limit(MAX_ATTEMPTS_TRIED)
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

    private boolean promote(Attempt attempt, boolean checkSpendLimit) {
        WorkspaceLedger ledger = state.ledger(attempt.job().spec().workspace());
        long rate = starter.acceleratorHourMicros(false) * attempt.accelerators();
        long worstCaseMicros = ledger.worstCaseMicros(rate, attempt.estimate().worstCaseMs());
        if (attempt.entitlement() == Entitlement.LENT
                && checkSpendLimit
                && !ledger.spendLimitAllows(worstCaseMicros, state.nowMs())) {
            return false;
        }
        Entitlement before = attempt.entitlement();
        Optional<GuaranteeUnit> unit = enterAnyUnit(attempt);
        if (unit.isEmpty()) {
            return false;
        }
        ledger.outside().remove(attempt);
        ledger.reprice(attempt, rate, state.nowMs());
        if (before == Entitlement.LENT) {
            state.emit(new Decision.PromoteGang(
                    attempt.id(),
                    reasonBuilder.of(
                            ReasonCode.PROMOTED_TO_GUARANTEE, worstCaseMicros, attempt.estimate(), Optional.empty())));
        }
        return true;
    }

    /**
     * Adds an attempt to a unit of its workspace that is placed on the attempt's workers or can be moved there; returns
     * the unit, or empty if there is none.
     */
    Optional<GuaranteeUnit> enterAnyUnit(Attempt attempt) {
        Shape requested = attempt.job().spec().shape();
        for (GuaranteeUnit unit :
                state.guaranteePlacer.units(attempt.job().spec().workspace())) {
            if (unit.placed() && !unit.full() && fitsInside(unit, attempt)) {
                enterUnit(attempt, unit);
                return Optional.of(unit);
            }
        }
        for (GuaranteeUnit unit :
                state.guaranteePlacer.units(attempt.job().spec().workspace())) {
            boolean movable = unit.unused() && GuaranteeAllocator.covers(unit.shape(), requested);
            if (movable && moveUnitAround(unit, attempt)) {
                return Optional.of(unit);
            }
        }
        return Optional.empty();
    }

    private static boolean fitsInside(GuaranteeUnit unit, Attempt attempt) {
        GangPlacement placement = attempt.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            if (unit.fittingParts(placement.workers()[i], attempt.perPart())
                    < placement.counts()[i]) {
                return false;
            }
        }
        return Arrays.stream(placement.workers()).distinct().count() == placement.workers().length;
    }

    private static void enterUnit(Attempt attempt, GuaranteeUnit unit) {
        if (attempt.entitlement() == Entitlement.NON_PREEMPTIBLE) {
            CapacityAccounting.commit(attempt, -1);
        }
        attempt.entitlement(Entitlement.GUARANTEED, unit);
        unit.attempts().add(attempt);
        attempt.excessMemoryMb(unit.allocate(attempt.placement(), attempt.perPart()));
    }

    /**
     * Moves an unused unit so that it contains an attempt and adds the attempt; otherwise restores its placement.
     * Returns whether it was moved.
     */
    private boolean moveUnitAround(GuaranteeUnit unit, Attempt attempt) {
        GangPlacement before = unit.location();
        if (unit.placed()) {
            unit.unplace();
        }
        boolean nonPreemptible = attempt.entitlement() == Entitlement.NON_PREEMPTIBLE;
        if (nonPreemptible) {
            CapacityAccounting.commit(attempt, -1);
        }
        Optional<GangPlacement> around = placementAround(unit.shape(), attempt);
        if (nonPreemptible) {
            CapacityAccounting.commit(attempt, 1);
        }
        if (around.isPresent()) {
            unit.place(around.get());
            enterUnit(attempt, unit);
            if (!overCommits(attempt)) {
                return true;
            }
            leaveUnit(attempt, unit, nonPreemptible);
        }
        if (before != null) {
            unit.place(before);
        }
        return false;
    }

    private static boolean overCommits(Attempt attempt) {
        return Arrays.stream(attempt.placement().workers()).anyMatch(Worker::overCommitted);
    }

    private static void leaveUnit(Attempt attempt, GuaranteeUnit unit, boolean nonPreemptible) {
        unit.release(attempt.placement(), attempt.perPart(), attempt.excessMemoryMb());
        unit.attempts().remove(attempt);
        attempt.excessMemoryMb(null);
        attempt.entitlement(nonPreemptible ? Entitlement.NON_PREEMPTIBLE : Entitlement.LENT, null);
        if (nonPreemptible) {
            CapacityAccounting.commit(attempt, 1);
        }
        unit.unplace();
    }

    /** Returns a placement of a guaranteed shape that contains the workers of an attempt, or empty. */
    private Optional<GangPlacement> placementAround(Shape shape, Attempt attempt) {
        GangPlacement placement = attempt.placement();
        int[] taken = new int[placement.workers().length];
        int left = shape.parts();
        for (int i = 0; i < taken.length; i++) {
            Worker worker = placement.workers()[i];
            taken[i] = unitParts(shape.perPart(), attempt.perPart(), placement.counts()[i]);
            left -= taken[i];
            boolean fits = worker.acceptsWork()
                    && worker.fittingParts(CapacityScope.CLAIMABLE, shape.perPart(), false) >= taken[i];
            if (!fits || left < 0 || !sameDomain(shape, placement.workers()[0], worker)) {
                return Optional.empty();
            }
        }
        if (left == 0) {
            return Optional.of(new GangPlacement(placement.workers(), taken));
        }
        PlacementRequest rest = PlacementRequest.of(left, shape.perPart(), shape.adjacency(), CapacityScope.CLAIMABLE)
                .limitedBy((worker, fitting) -> sameDomain(shape, placement.workers()[0], worker)
                        ? fitting - partsOn(placement, taken, worker)
                        : 0);
        return state.placer.place(rest).map(more -> merge(placement, taken, more));
    }

    private static GangPlacement merge(GangPlacement placement, int[] taken, GangPlacement more) {
        List<Worker> workers = new ArrayList<>(List.of(placement.workers()));
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
        return new GangPlacement(
                workers.toArray(Worker[]::new),
                counts.stream().mapToInt(Integer::intValue).toArray());
    }

    private static int partsOn(GangPlacement placement, int[] taken, Worker worker) {
        int parts = 0;
        for (int i = 0; i < taken.length; i++) {
            if (placement.workers()[i] == worker) {
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
    private static int unitParts(Resources guaranteed, Resources perPart, int count) {
        int parts = ratio(perPart.accelerators() * count, guaranteed.accelerators());
        parts = Math.max(parts, ratio(perPart.cpuMillis() * count, guaranteed.cpuMillis()));
        parts = Math.max(parts, ratio(perPart.slots() * count, guaranteed.slots()));
        return Math.max(1, Math.max(parts, ratio(perPart.connections() * count, guaranteed.connections())));
    }

    private static int ratio(int need, int each) {
        return each <= 0 ? 0 : (need + each - 1) / each;
    }
}
