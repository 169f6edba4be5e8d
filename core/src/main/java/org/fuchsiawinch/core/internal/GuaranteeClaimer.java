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
 * Finds capacity for a job inside its workspace's guarantees: free capacity if there is any, otherwise the place where
 * a reclaim loses the least work. Not thread-safe.
 */
final class GuaranteeClaimer {

    private static final int MAX_LOCATIONS_COMPARED = 64;

    private final State state;

    GuaranteeClaimer(State state) {
        this.state = state;
    }

    /**
     * Capacity found inside a guarantee.
     *
     * @param unit the guarantee
     * @param gang the workers of the job's parts
     * @param victims attempts that must stop first
     * @param mustWait whether the job must wait until the capacity is free
     */
    record Offer(GuaranteeUnit unit, Gang gang, List<Attempt> victims, boolean mustWait) {}

    /** Returns whether a guarantee of the workspace covers the job's shape and has unused capacity for it. */
    boolean entitled(Job job) {
        Resources part = job.spec().shape().perPart();
        return state.keeper.units(job.spec().workspace()).stream()
                .anyMatch(unit -> covers(unit.shape(), job.spec().shape())
                        && (!unit.placed()
                                || (unit.empty() || pack(unit, job, part, false).isPresent())));
    }

    /** Returns whether a guarantee of the workspace is placed, not in full use and large enough for the class. */
    boolean hasRoom(JobClass.Key key) {
        for (GuaranteeUnit unit : state.keeper.units(key.workspace())) {
            boolean large = unit.shape().accelerators() >= key.shape().accelerators();
            if (large && unit.placed() && !unit.full()) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a shape fits inside a guaranteed one, on whichever workers that is placed. */
    static boolean covers(Shape guaranteed, Shape wanted) {
        if (wanted.adjacency().compareTo(guaranteed.adjacency()) < 0) {
            return false;
        }
        if (wanted.parts() <= guaranteed.parts() && wanted.perPart().fitsIn(guaranteed.perPart())) {
            return true;
        }
        Resources all = guaranteed.perPart().times(guaranteed.parts());
        return guaranteed.adjacency() == Adjacency.WORKER
                && wanted.perPart().times(wanted.parts()).fitsIn(all);
    }

    /**
     * Finds capacity inside a guarantee. If there is none, removes a smaller attempt from a guarantee that is larger
     * than it needs and tries again.
     */
    Optional<Offer> offer(Job job, Resources part) {
        Optional<Offer> offer = find(job, part);
        if (offer.isPresent() || !state.has(SchedulerFeature.RECLAIM) || !displaceSmaller(job)) {
            return offer;
        }
        return find(job, part);
    }

    /**
     * Changes a smaller attempt to lent that alone uses a guarantee covering the job, while a smaller guarantee that
     * covers the attempt is unused. Returns whether there was one.
     */
    private boolean displaceSmaller(Job job) {
        List<GuaranteeUnit> units = state.keeper.units(job.spec().workspace());
        for (GuaranteeUnit unit : units) {
            boolean wanted = unit.placed()
                    && !unit.hasPending()
                    && covers(unit.shape(), job.spec().shape());
            if (wanted
                    && unit.attempts().size() == 1
                    && displaceable(unit.attempts().get(0), job, units)) {
                Attempt holder = unit.attempts().get(0);
                state.keeper.lend(holder);
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
                        && unit.empty()
                        && unit.shape().accelerators() < job.accelerators()
                        && covers(unit.shape(), holder.job().spec().shape()));
    }

    /** Tries the smallest guaranteed shapes first, so that larger ones stay whole for larger jobs. */
    private Optional<Offer> find(Job job, Resources part) {
        TreeMap<Integer, List<GuaranteeUnit>> bySize = new TreeMap<>();
        for (GuaranteeUnit unit : candidates(job, part)) {
            bySize.computeIfAbsent(unit.shape().accelerators(), size -> new ArrayList<>())
                    .add(unit);
        }
        for (List<GuaranteeUnit> units : bySize.values()) {
            Optional<Offer> offer = free(job, part, units);
            if (offer.isEmpty() && state.has(SchedulerFeature.RECLAIM)) {
                offer = cheapest(job, part, units);
            }
            if (offer.isPresent()) {
                return offer;
            }
        }
        return Optional.empty();
    }

    private boolean mayHold(GuaranteeUnit unit, Job job, Resources part) {
        return unit.empty() && covers(unit.shape(), job.spec().shape())
                || pack(unit, job, part, false).isPresent();
    }

    private List<GuaranteeUnit> candidates(Job job, Resources part) {
        List<GuaranteeUnit> used = new ArrayList<>();
        List<GuaranteeUnit> empty = new ArrayList<>();
        for (GuaranteeUnit unit : state.keeper.units(job.spec().workspace())) {
            if (!unit.placed() || unit.full() || !mayHold(unit, job, part)) {
                continue;
            }
            (unit.empty() ? empty : used).add(unit);
        }
        used.addAll(empty);
        return used;
    }

    private Optional<Offer> free(Job job, Resources part, List<GuaranteeUnit> units) {
        Set<Shape> tried = new HashSet<>();
        for (GuaranteeUnit unit : units) {
            if (unit.empty() && tried.add(unit.shape())) {
                moveToSpare(unit, job, part);
            }
            Optional<Gang> gang = pack(unit, job, part, true);
            if (gang.isPresent()) {
                return Optional.of(new Offer(unit, gang.get(), List.of(), false));
            }
        }
        return Optional.empty();
    }

    /** Moves an unused unit to capacity that is free without a reclaim, if there is any. */
    private void moveToSpare(GuaranteeUnit unit, Job job, Resources part) {
        Gang before = unit.location();
        unit.unplace();
        Shape shape = unit.shape();
        PlaceRequest request = PlaceRequest.of(
                        shape.parts(), larger(shape.perPart(), part), shape.adjacency(), Space.SPARE)
                .avoiding(job.avoid());
        unit.place(state.placer.place(request).orElse(before));
    }

    private Optional<Offer> cheapest(Job job, Resources part, List<GuaranteeUnit> units) {
        Offer best = null;
        double least = Double.MAX_VALUE;
        int compared = 0;
        Set<Shape> tried = new HashSet<>();
        for (GuaranteeUnit unit : units) {
            if (compared++ == MAX_LOCATIONS_COMPARED) {
                break;
            }
            if (unit.empty() && tried.add(unit.shape())) {
                moveToCheapest(unit, job, part);
            }
            Optional<Offer> offer = withVictims(unit, job, part);
            if (offer.isEmpty()) {
                continue;
            }
            double lost = state.victims.lostWork(offer.get().victims(), state.nowMs());
            if (lost < least) {
                least = lost;
                best = offer.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Moves an unused unit to the place whose victims lose the least work. */
    private void moveToCheapest(GuaranteeUnit unit, Job job, Resources part) {
        Gang before = unit.location();
        unit.unplace();
        Shape shape = unit.shape();
        Resources need = larger(shape.perPart(), part);
        PlaceRequest request = PlaceRequest.of(shape.parts(), need, shape.adjacency(), Space.CLAIMABLE)
                .avoiding(job.avoid())
                .chargedBy(gang -> cost(gang, need));
        unit.place(state.placer.place(request).orElse(before));
    }

    private double cost(Gang gang, Resources part) {
        return state.victims
                .choose(gang, part, state.nowMs())
                .map(chosen -> state.victims.lostWork(chosen, state.nowMs()))
                .orElse(Double.MAX_VALUE / 2);
    }

    private Optional<Offer> withVictims(GuaranteeUnit unit, Job job, Resources part) {
        return pack(unit, job, part, false).flatMap(gang -> state.victims
                .choose(gang, part, state.nowMs())
                .map(chosen -> new Offer(unit, gang, chosen, true)));
    }

    private Optional<Gang> pack(GuaranteeUnit unit, Job job, Resources part, boolean freeOnly) {
        Set<WorkerId> avoid = job.avoid();
        PlaceRequest request = PlaceRequest.of(
                        job.spec().shape().parts(),
                        part,
                        job.spec().shape().adjacency(),
                        freeOnly ? Space.FREE : Space.ANY)
                .avoiding(avoid)
                .limitedBy((worker, room) -> Math.min(room, unit.room(worker, part)));
        return state.placer.placeOn(List.of(unit.location().workers()), request);
    }

    private static Resources larger(Resources guaranteed, Resources part) {
        if (part.memoryMb() <= guaranteed.memoryMb()) {
            return guaranteed;
        }
        if (part.accelerators() != guaranteed.accelerators()) {
            return guaranteed;
        }
        return new Resources(
                guaranteed.cpuMillis(),
                part.memoryMb(),
                guaranteed.accelerators(),
                guaranteed.slots(),
                guaranteed.connections());
    }
}
