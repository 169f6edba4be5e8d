package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;

/**
 * Assigns concrete workers to each guaranteed shape of each workspace. The assigned capacities are disjoint in all five
 * resources, so that all guarantees can be used at the same time. Unused units are moved when their capacity is needed
 * by non-preemptible work or lost. Not thread-safe.
 */
final class GuaranteePlacer {

    private static final Comparator<GuaranteeUnit> LARGEST_FIRST = Comparator.<GuaranteeUnit>comparingInt(
                    unit -> -unit.shape().accelerators())
            .thenComparing(unit -> unit.shape().adjacency())
            .thenComparing(GuaranteeUnit::workspace)
            .thenComparingInt(GuaranteeUnit::index);

    private final GangPlacer placer;
    private final boolean enabled;
    private final TreeMap<WorkspaceId, List<GuaranteeUnit>> units = new TreeMap<>();
    private int nextIndex;
    private boolean unplacedSinceAlarm;

    GuaranteePlacer(GangPlacer placer, SchedulerFeatures features) {
        this.placer = placer;
        this.enabled = features.has(SchedulerFeature.GUARANTEE_PROTECTION);
    }

    List<GuaranteeUnit> units(WorkspaceId workspace) {
        return units.getOrDefault(workspace, List.of());
    }

    List<GuaranteeUnit> allUnits() {
        List<GuaranteeUnit> all = new ArrayList<>();
        units.values().forEach(all::addAll);
        return all;
    }

    /** Returns whether any unit was left without a placement since the last call, and resets the mark. */
    boolean pollUnplaced() {
        boolean any = unplacedSinceAlarm;
        unplacedSinceAlarm = false;
        return any;
    }

    /** Applies the guarantees of a policy; units whose shape is still guaranteed keep their placement and attempts. */
    void policy(Policy policy) {
        if (!enabled) {
            return;
        }
        for (WorkspaceId workspace : List.copyOf(units.keySet())) {
            if (!policy.workspaces().containsKey(workspace)) {
                units.remove(workspace).forEach(this::discard);
            }
        }
        new TreeMap<>(policy.workspaces()).forEach((workspace, rules) -> adjustUnits(workspace, rules.guarantees()));
        placeMissing();
    }

    /** Places the unplaced units that fit in the adjacency domain of a worker that has become available. */
    void placeInDomainOf(Worker worker) {
        Set<Shape> misfits = new HashSet<>();
        for (GuaranteeUnit unit : unplacedUnits()) {
            Shape shape = unit.shape();
            if (misfits.contains(shape)) {
                continue;
            }
            PlacementRequest request =
                    PlacementRequest.of(shape.parts(), shape.perPart(), shape.adjacency(), CapacityScope.CLAIMABLE);
            Optional<GangPlacement> placement = placer.placeInDomainOf(worker, request);
            placement.ifPresent(unit::place);
            if (placement.isEmpty()) {
                misfits.add(shape);
            }
        }
    }

    /** Places the unplaced units; moves unused ones if necessary. */
    void placeMissing() {
        boolean anyLeft = false;
        for (GuaranteeUnit unit : unplacedUnits()) {
            anyLeft |= !place(unit);
        }
        if (anyLeft) {
            repack();
        }
    }

    private List<GuaranteeUnit> unplacedUnits() {
        return allUnits().stream()
                .filter(unit -> !unit.placed())
                .sorted(LARGEST_FIRST)
                .toList();
    }

    /**
     * Moves the units off a worker that accepts no new work or lost capacity. A unit in full use stays unless the
     * worker is overcommitted. Attempts inside a moved unit become non-preemptible.
     */
    void evacuate(Worker worker) {
        for (GuaranteeUnit unit : List.copyOf(worker.units())) {
            if (!unit.full() || worker.overCommitted()) {
                reposition(unit);
            }
        }
    }

    /** Moves a unit off workers that accept no new work, after an attempt inside it ended. */
    void attemptEnded(GuaranteeUnit unit) {
        if (unit.placed() && unit.usesUnavailableWorker() && !unit.full()) {
            reposition(unit);
        }
    }

    /** Places a unit anew unless a claim on it is pending; returns whether it was placed. */
    boolean reposition(GuaranteeUnit unit) {
        if (unit.hasPendingClaims()) {
            return false;
        }
        List.copyOf(unit.attempts()).forEach(this::makeNonPreemptible);
        if (unit.placed()) {
            unit.unplace();
        }
        boolean placed = place(unit) || (repack() && unit.placed());
        unplacedSinceAlarm |= !placed;
        return placed;
    }

    /** Removes an attempt from its unit and makes it non-preemptible; its capacity stays committed. */
    void makeNonPreemptible(Attempt attempt) {
        removeFromUnit(attempt);
        attempt.entitlement(Entitlement.NON_PREEMPTIBLE, null);
        CapacityAccounting.commit(attempt, 1);
    }

    /** Removes an attempt from its unit and makes it lent, so that it may be reclaimed. */
    void makeLent(Attempt attempt) {
        removeFromUnit(attempt);
        attempt.entitlement(Entitlement.LENT, null);
    }

    private static void removeFromUnit(Attempt attempt) {
        GuaranteeUnit unit = attempt.unit();
        unit.release(attempt.placement(), attempt.perPart(), attempt.excessMemoryMb());
        unit.attempts().remove(attempt);
        attempt.excessMemoryMb(null);
    }

    /** Finds a placement for non-preemptible work that becomes possible by moving unused units, and moves them. */
    Optional<GangPlacement> placeByMovingUnits(PlacementRequest request) {
        Optional<GangPlacement> found = placer.place(request.limitedBy((worker, fitting) ->
                Math.min(request.limit().apply(worker, fitting), fittingPartsAfterMoves(worker, request.perPart()))));
        return found.filter(placement -> moveUnitsOff(placement, request.perPart()));
    }

    private static int fittingPartsAfterMoves(Worker worker, Resources perPart) {
        MutableResources committed = new MutableResources();
        committed.add(worker.committed(), 1);
        for (GuaranteeUnit unit : worker.units()) {
            if (unit.unused()) {
                committed.add(unit.shape().perPart(), -unit.partsOn(worker));
            }
        }
        return committed.fittingParts(worker.capacity(), perPart);
    }

    private boolean moveUnitsOff(GangPlacement placement, Resources perPart) {
        Map<GuaranteeUnit, GangPlacement> before = new LinkedHashMap<>();
        for (Worker worker : placement.workers()) {
            worker.units().stream()
                    .filter(GuaranteeUnit::unused)
                    .sorted(LARGEST_FIRST)
                    .forEach(unit -> before.put(unit, unit.location()));
        }
        before.keySet().forEach(GuaranteeUnit::unplace);
        CapacityAccounting.commit(placement, perPart, 1);
        before.keySet().forEach(this::place);
        CapacityAccounting.commit(placement, perPart, -1);
        if (before.keySet().stream().allMatch(GuaranteeUnit::placed)) {
            return true;
        }
        before.keySet().stream().filter(GuaranteeUnit::placed).forEach(GuaranteeUnit::unplace);
        before.forEach(GuaranteeUnit::place);
        return false;
    }

    /** Places a unit on claimable capacity; returns whether there is enough. */
    boolean place(GuaranteeUnit unit) {
        Shape shape = unit.shape();
        Optional<GangPlacement> placement = placer.place(
                PlacementRequest.of(shape.parts(), shape.perPart(), shape.adjacency(), CapacityScope.CLAIMABLE));
        placement.ifPresent(unit::place);
        return placement.isPresent();
    }

    /**
     * Places all unused units again, the largest first. Restores the old placements unless every unit that was placed
     * still is and at least one more is; returns whether the new placements are kept.
     */
    private boolean repack() {
        List<GuaranteeUnit> unused = allUnits().stream()
                .filter(GuaranteeUnit::unused)
                .sorted(LARGEST_FIRST)
                .toList();
        Map<GuaranteeUnit, GangPlacement> before = new LinkedHashMap<>();
        for (GuaranteeUnit unit : unused) {
            before.put(unit, unit.location());
            if (unit.placed()) {
                unit.unplace();
            }
        }
        unused.forEach(this::place);
        boolean allKept = unused.stream().allMatch(unit -> unit.placed() || before.get(unit) == null);
        boolean more = unused.stream().anyMatch(unit -> unit.placed() && before.get(unit) == null);
        if (allKept && more) {
            return true;
        }
        unused.stream().filter(GuaranteeUnit::placed).forEach(GuaranteeUnit::unplace);
        before.forEach((unit, placement) -> {
            if (placement != null) {
                unit.place(placement);
            }
        });
        return false;
    }

    private void adjustUnits(WorkspaceId workspace, List<Guarantee> guarantees) {
        List<GuaranteeUnit> surplus = new ArrayList<>(units(workspace));
        List<GuaranteeUnit> kept = new ArrayList<>();
        for (Guarantee guarantee : guarantees) {
            for (int i = 0; i < guarantee.count(); i++) {
                kept.add(reuseOrCreate(workspace, guarantee.shape(), surplus));
            }
        }
        surplus.forEach(this::discard);
        units.put(workspace, kept);
    }

    private GuaranteeUnit reuseOrCreate(WorkspaceId workspace, Shape shape, List<GuaranteeUnit> surplus) {
        Optional<GuaranteeUnit> same = surplus.stream()
                .filter(unit -> unit.shape().equals(shape))
                .min(Comparator.comparing(GuaranteeUnit::unused));
        same.ifPresent(surplus::remove);
        return same.orElseGet(() -> new GuaranteeUnit(workspace, shape, nextIndex++));
    }

    private void discard(GuaranteeUnit unit) {
        List.copyOf(unit.attempts()).forEach(this::makeNonPreemptible);
        if (unit.placed()) {
            unit.unplace();
        }
    }
}
