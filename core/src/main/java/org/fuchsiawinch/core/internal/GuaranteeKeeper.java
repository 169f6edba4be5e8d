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
final class GuaranteeKeeper {

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

    GuaranteeKeeper(GangPlacer placer, SchedulerFeatures features) {
        this.placer = placer;
        this.enabled = features.has(SchedulerFeature.GUARANTEE_PROTECTION);
    }

    List<GuaranteeUnit> units(WorkspaceId workspace) {
        return units.getOrDefault(workspace, List.of());
    }

    List<GuaranteeUnit> all() {
        List<GuaranteeUnit> all = new ArrayList<>();
        units.values().forEach(all::addAll);
        return all;
    }

    /** Returns whether a unit could not be placed again since the last call. */
    boolean takeUnplaced() {
        boolean any = unplacedSinceAlarm;
        unplacedSinceAlarm = false;
        return any;
    }

    /** Applies the guarantees of a policy; units whose shape is still guaranteed keep their place and attempts. */
    void policy(Policy policy) {
        if (!enabled) {
            return;
        }
        for (WorkspaceId workspace : List.copyOf(units.keySet())) {
            if (!policy.workspaces().containsKey(workspace)) {
                units.remove(workspace).forEach(this::discard);
            }
        }
        new TreeMap<>(policy.workspaces()).forEach((workspace, rules) -> adjust(workspace, rules.guarantees()));
        placeMissing();
    }

    /** Places units that have no place in the domain of a worker that has become available. */
    void placeAround(Worker worker) {
        Set<Shape> misfits = new HashSet<>();
        for (GuaranteeUnit unit : missing()) {
            Shape shape = unit.shape();
            if (misfits.contains(shape)) {
                continue;
            }
            PlaceRequest request = PlaceRequest.of(shape.parts(), shape.perPart(), shape.adjacency(), Space.CLAIMABLE);
            Optional<Gang> gang = placer.placeAround(worker, request);
            gang.ifPresent(unit::place);
            if (gang.isEmpty()) {
                misfits.add(shape);
            }
        }
    }

    /** Places each unit that has no place; moves unused units if necessary. */
    void placeMissing() {
        boolean anyLeft = false;
        for (GuaranteeUnit unit : missing()) {
            anyLeft |= !place(unit);
        }
        if (anyLeft) {
            repack();
        }
    }

    private List<GuaranteeUnit> missing() {
        return all().stream()
                .filter(unit -> !unit.placed())
                .sorted(LARGEST_FIRST)
                .toList();
    }

    /**
     * Moves the units off a worker that accepts no new work or lost capacity. A unit in full use stays unless the
     * worker is overcommitted. Attempts inside a moved unit become non-preemptible.
     */
    void vacate(Worker worker) {
        for (GuaranteeUnit unit : List.copyOf(worker.units())) {
            if (!unit.full() || worker.overCommitted()) {
                reposition(unit);
            }
        }
    }

    /** Moves a unit off workers that accept no new work, after an attempt inside it ended. */
    void released(GuaranteeUnit unit) {
        if (unit.placed() && unit.touchesClosedWorker() && !unit.full()) {
            reposition(unit);
        }
    }

    /** Moves a unit unless a claim on it is pending; returns whether it has a place again. */
    boolean reposition(GuaranteeUnit unit) {
        if (unit.hasPending()) {
            return false;
        }
        List.copyOf(unit.attempts()).forEach(this::eject);
        if (unit.placed()) {
            unit.unplace();
        }
        boolean placed = place(unit) || (repack() && unit.placed());
        unplacedSinceAlarm |= !placed;
        return placed;
    }

    /** Removes an attempt from its unit and makes it non-preemptible; its capacity stays committed. */
    void eject(Attempt attempt) {
        leave(attempt);
        attempt.stand(Standing.FIRM, null);
        Occupancy.commit(attempt, 1);
    }

    /** Removes an attempt from its unit and makes it lent, so that it may be reclaimed. */
    void lend(Attempt attempt) {
        leave(attempt);
        attempt.stand(Standing.LENT, null);
    }

    private static void leave(Attempt attempt) {
        GuaranteeUnit unit = attempt.unit();
        unit.give(attempt.gang(), attempt.part(), attempt.excessMemoryMb());
        unit.attempts().remove(attempt);
        attempt.excessMemoryMb(null);
    }

    /** Finds a placement for non-preemptible work that becomes possible by moving unused units, and moves them. */
    Optional<Gang> makeWay(PlaceRequest request) {
        Optional<Gang> found = placer.place(request.limitedBy(
                (worker, room) -> Math.min(request.limit().apply(worker, room), movableRoom(worker, request.part()))));
        return found.filter(gang -> moveOff(gang, request.part()));
    }

    private static int movableRoom(Worker worker, Resources part) {
        Amounts firm = new Amounts();
        firm.add(worker.committed(), 1);
        for (GuaranteeUnit unit : worker.units()) {
            if (unit.empty()) {
                firm.add(unit.shape().perPart(), -unit.partsOn(worker));
            }
        }
        return firm.room(worker.capacity(), part);
    }

    private boolean moveOff(Gang gang, Resources part) {
        Map<GuaranteeUnit, Gang> before = new LinkedHashMap<>();
        for (Worker worker : gang.workers()) {
            worker.units().stream()
                    .filter(GuaranteeUnit::empty)
                    .sorted(LARGEST_FIRST)
                    .forEach(unit -> before.put(unit, unit.location()));
        }
        before.keySet().forEach(GuaranteeUnit::unplace);
        Occupancy.commit(gang, part, 1);
        before.keySet().forEach(this::place);
        Occupancy.commit(gang, part, -1);
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
        Optional<Gang> gang =
                placer.place(PlaceRequest.of(shape.parts(), shape.perPart(), shape.adjacency(), Space.CLAIMABLE));
        gang.ifPresent(unit::place);
        return gang.isPresent();
    }

    /**
     * Places all unused units again, the largest first. Restores the old places unless every unit that had a place
     * keeps one and at least one more is placed; returns whether the new places are kept.
     */
    private boolean repack() {
        List<GuaranteeUnit> empty = all().stream()
                .filter(GuaranteeUnit::empty)
                .sorted(LARGEST_FIRST)
                .toList();
        Map<GuaranteeUnit, Gang> before = new LinkedHashMap<>();
        for (GuaranteeUnit unit : empty) {
            before.put(unit, unit.location());
            if (unit.placed()) {
                unit.unplace();
            }
        }
        empty.forEach(this::place);
        boolean allKept = empty.stream().allMatch(unit -> unit.placed() || before.get(unit) == null);
        boolean more = empty.stream().anyMatch(unit -> unit.placed() && before.get(unit) == null);
        if (allKept && more) {
            return true;
        }
        empty.stream().filter(GuaranteeUnit::placed).forEach(GuaranteeUnit::unplace);
        before.forEach((unit, gang) -> {
            if (gang != null) {
                unit.place(gang);
            }
        });
        return false;
    }

    private void adjust(WorkspaceId workspace, List<Guarantee> guarantees) {
        List<GuaranteeUnit> surplus = new ArrayList<>(units(workspace));
        List<GuaranteeUnit> kept = new ArrayList<>();
        for (Guarantee guarantee : guarantees) {
            for (int i = 0; i < guarantee.count(); i++) {
                kept.add(reuse(workspace, guarantee.shape(), surplus));
            }
        }
        surplus.forEach(this::discard);
        units.put(workspace, kept);
    }

    private GuaranteeUnit reuse(WorkspaceId workspace, Shape shape, List<GuaranteeUnit> surplus) {
        Optional<GuaranteeUnit> same = surplus.stream()
                .filter(unit -> unit.shape().equals(shape))
                .min(Comparator.comparing(GuaranteeUnit::empty));
        same.ifPresent(surplus::remove);
        return same.orElseGet(() -> new GuaranteeUnit(workspace, shape, nextIndex++));
    }

    private void discard(GuaranteeUnit unit) {
        List.copyOf(unit.attempts()).forEach(this::eject);
        if (unit.placed()) {
            unit.unplace();
        }
    }
}
