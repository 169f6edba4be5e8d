package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;

/**
 * Finds capacity for a job inside its workspace's guarantees: free capacity if there is any, otherwise the workers on
 * which a reclaim loses the least work. Not thread-safe.
 */
final class GuaranteeAllocator {

    private static final int MAX_UNITS_COMPARED = 64;

    private final SchedulerState state;

    GuaranteeAllocator(SchedulerState state) {
        this.state = state;
    }

    /**
     * Capacity found inside a guarantee.
     *
     * @param unit the guarantee
     * @param placement the workers of the job's parts
     * @param victims attempts that must stop first
     * @param mustWait whether the job must wait until the capacity is free
     */
    record Offer(GuaranteeUnit unit, GangPlacement placement, List<Attempt> victims, boolean mustWait) {}

    /**
     * Returns whether a guarantee of the workspace covers the job's shape and is unplaced or has unused capacity for
     * it.
     */
    boolean hasCapacityFor(Job job) {
        Resources perPart = job.spec().shape().perPart();
        return state.guaranteePlacer.units(job.spec().workspace()).stream()
                .anyMatch(unit -> covers(unit.shape(), job.spec().shape())
                        && (!unit.placed()
                                || (unit.unused()
                                        || placeInside(unit, job, perPart, false)
                                                .isPresent())));
    }

    /** Returns whether a guarantee of the workspace is placed, not in full use and has enough accelerators. */
    boolean hasUnusedCapacity(JobClass.Key key) {
        for (GuaranteeUnit unit : state.guaranteePlacer.units(key.workspace())) {
            boolean large = unit.shape().accelerators() >= key.shape().accelerators();
            if (large && unit.placed() && !unit.full()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a shape fits inside a guaranteed one, on whichever workers that is placed. */
    static boolean covers(Shape guaranteed, Shape requested) {
        if (requested.adjacency().compareTo(guaranteed.adjacency()) < 0) {
            return false;
        }
        if (requested.parts() <= guaranteed.parts() && requested.perPart().fitsIn(guaranteed.perPart())) {
            return true;
        }
        Resources all = guaranteed.perPart().times(guaranteed.parts());
        return guaranteed.adjacency() == Adjacency.WORKER
                && requested.perPart().times(requested.parts()).fitsIn(all);
    }

    /**
     * Finds capacity inside a guarantee. If there is none, removes a smaller attempt from a guarantee that is larger
     * than it needs and tries again.
     */
    Optional<Offer> findOffer(Job job, Resources perPart) {
        Optional<Offer> offer = findBySize(job, perPart);
        if (offer.isPresent() || !state.has(SchedulerFeature.RECLAIM) || !displaceSmaller(job)) {
            return offer;
        }
        return findBySize(job, perPart);
    }

    /**
     * Makes an attempt lent that occupies a guarantee covering the job although an unused smaller guarantee covers the
     * attempt. The attempt must be alone in its guarantee and use fewer accelerators than the job. Returns whether
     * there was one.
     */
    private boolean displaceSmaller(Job job) {
        List<GuaranteeUnit> units = state.guaranteePlacer.units(job.spec().workspace());
        for (GuaranteeUnit unit : units) {
            boolean suitable = unit.placed()
                    && !unit.hasPendingClaims()
                    && covers(unit.shape(), job.spec().shape());
            if (suitable
                    && unit.attempts().size() == 1
                    && displaceable(unit.attempts().get(0), job, units)) {
                Attempt holder = unit.attempts().get(0);
                state.guaranteePlacer.makeLent(holder);
                state.ledger(job.spec().workspace()).outside().add(holder);
                return true;
            }
        }
        return false;
    }

    private boolean displaceable(Attempt holder, Job job, List<GuaranteeUnit> units) {
        if (holder.stopping() || holder.accelerators() >= job.accelerators() || !state.lendable(holder.job())) {
            return false;
        }
        return units.stream()
                .anyMatch(unit -> unit.placed()
                        && unit.unused()
                        && unit.shape().accelerators() < job.accelerators()
                        && covers(unit.shape(), holder.job().spec().shape()));
    }

    /** Tries the smallest guaranteed shapes first, so that larger ones stay whole for larger jobs. */
    private Optional<Offer> findBySize(Job job, Resources perPart) {
        TreeMap<Integer, List<GuaranteeUnit>> bySize = new TreeMap<>();
        for (GuaranteeUnit unit : candidates(job, perPart)) {
            bySize.computeIfAbsent(unit.shape().accelerators(), size -> new ArrayList<>())
                    .add(unit);
        }
        for (List<GuaranteeUnit> units : bySize.values()) {
            Optional<Offer> offer = offerOnFreeCapacity(job, perPart, units);
            if (offer.isEmpty() && state.has(SchedulerFeature.RECLAIM)) {
                offer = offerWithCheapestReclaim(job, perPart, units);
            }
            if (offer.isPresent()) {
                return offer;
            }
        }
        return Optional.empty();
    }

    private boolean mayFit(GuaranteeUnit unit, Job job, Resources perPart) {
        return unit.unused() && covers(unit.shape(), job.spec().shape())
                || placeInside(unit, job, perPart, false).isPresent();
    }

    private List<GuaranteeUnit> candidates(Job job, Resources perPart) {
        List<GuaranteeUnit> used = new ArrayList<>();
        List<GuaranteeUnit> unused = new ArrayList<>();
        for (GuaranteeUnit unit : state.guaranteePlacer.units(job.spec().workspace())) {
            if (!unit.placed() || unit.full() || !mayFit(unit, job, perPart)) {
                continue;
            }
            (unit.unused() ? unused : used).add(unit);
        }
        used.addAll(unused);
        return used;
    }

    private Optional<Offer> offerOnFreeCapacity(Job job, Resources perPart, List<GuaranteeUnit> units) {
        Set<Shape> tried = new HashSet<>();
        for (GuaranteeUnit unit : units) {
            if (unit.unused() && tried.add(unit.shape())) {
                moveToSpare(unit, job, perPart);
            }
            Optional<GangPlacement> placement = placeInside(unit, job, perPart, true);
            if (placement.isPresent()) {
                return Optional.of(new Offer(unit, placement.get(), List.of(), false));
            }
        }
        return Optional.empty();
    }

    /** Moves an unused unit to capacity that is free without a reclaim, if there is any. */
    private void moveToSpare(GuaranteeUnit unit, Job job, Resources perPart) {
        GangPlacement before = unit.location();
        unit.unplace();
        Shape shape = unit.shape();
        PlacementRequest request = PlacementRequest.of(
                        shape.parts(),
                        withLargerMemory(shape.perPart(), perPart),
                        shape.adjacency(),
                        CapacityScope.SPARE)
                .avoiding(job.avoid());
        unit.place(state.placer.place(request).orElse(before));
    }

    private Optional<Offer> offerWithCheapestReclaim(Job job, Resources perPart, List<GuaranteeUnit> units) {
        Offer best = null;
        double least = Double.MAX_VALUE;
        int compared = 0;
        Set<Shape> tried = new HashSet<>();
        for (GuaranteeUnit unit : units) {
            if (compared++ == MAX_UNITS_COMPARED) {
                break;
            }
            if (unit.unused() && tried.add(unit.shape())) {
                moveToCheapest(unit, job, perPart);
            }
            Optional<Offer> offer = offerWithVictims(unit, job, perPart);
            if (offer.isEmpty()) {
                continue;
            }
            double lost = state.victimSelector.lostWork(offer.get().victims(), state.nowMs());
            if (lost < least) {
                least = lost;
                best = offer.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Moves an unused unit to the workers on which a reclaim loses the least work. */
    private void moveToCheapest(GuaranteeUnit unit, Job job, Resources perPart) {
        GangPlacement before = unit.location();
        unit.unplace();
        Shape shape = unit.shape();
        Resources need = withLargerMemory(shape.perPart(), perPart);
        PlacementRequest request = PlacementRequest.of(shape.parts(), need, shape.adjacency(), CapacityScope.CLAIMABLE)
                .avoiding(job.avoid())
                .penalizedBy(placement -> reclaimCost(placement, need));
        unit.place(state.placer.place(request).orElse(before));
    }

    private double reclaimCost(GangPlacement placement, Resources perPart) {
        return state.victimSelector
                .select(placement, perPart, state.nowMs())
                .map(victims -> state.victimSelector.lostWork(victims, state.nowMs()))
                .orElse(Double.MAX_VALUE / 2);
    }

    private Optional<Offer> offerWithVictims(GuaranteeUnit unit, Job job, Resources perPart) {
        return placeInside(unit, job, perPart, false).flatMap(placement -> state.victimSelector
                .select(placement, perPart, state.nowMs())
                .map(victims -> new Offer(unit, placement, victims, true)));
    }

    /**
     * Returns a placement of a job on the unused capacity of a unit, or empty; {@code freeOnly} excludes lent capacity
     * in use.
     */
    private Optional<GangPlacement> placeInside(GuaranteeUnit unit, Job job, Resources perPart, boolean freeOnly) {
        Set<WorkerId> avoid = job.avoid();
        PlacementRequest request = PlacementRequest.of(
                        job.spec().shape().parts(),
                        perPart,
                        job.spec().shape().adjacency(),
                        freeOnly ? CapacityScope.FREE : CapacityScope.ANY)
                .avoiding(avoid)
                .limitedBy((worker, fitting) -> Math.min(fitting, unit.fittingParts(worker, perPart)));
        return state.placer.placeOn(List.of(unit.location().workers()), request);
    }

    /**
     * Returns a guaranteed part with its memory raised to that of the job's part if both have the same accelerators.
     */
    private static Resources withLargerMemory(Resources guaranteed, Resources perPart) {
        if (perPart.memoryMb() <= guaranteed.memoryMb()) {
            return guaranteed;
        }
        if (perPart.accelerators() != guaranteed.accelerators()) {
            return guaranteed;
        }
        return new Resources(
                guaranteed.cpuMillis(),
                perPart.memoryMb(),
                guaranteed.accelerators(),
                guaranteed.slots(),
                guaranteed.connections());
    }
}
