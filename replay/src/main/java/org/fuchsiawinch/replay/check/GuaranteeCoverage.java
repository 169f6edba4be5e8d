package org.fuchsiawinch.replay.check;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspacePolicy;

/**
 * Matches a workspace's open jobs with its guaranteed shapes, one job per shape. A shape certainly covers a job if the
 * job could run wherever the shape could. It may hold any job that has no more and no larger parts, since a scheduler
 * may count such a job within the guarantee. Stateless.
 */
final class GuaranteeCoverage {

    private GuaranteeCoverage() {}

    /**
     * Returns whether an unused guaranteed shape covers the wanted one after each other shape has used one that may
     * hold it.
     */
    static boolean leftFor(WorkspacePolicy rules, Shape wanted, Collection<Shape> others) {
        List<Shape> largestFirst = new ArrayList<>(others);
        largestFirst.sort(Comparator.comparingInt(Shape::accelerators).reversed());
        List<Shape> slots = slots(rules);
        for (Shape other : largestFirst) {
            slots.stream().filter(slot -> mayHold(slot, other)).findFirst().ifPresent(slots::remove);
        }
        return slots.stream().anyMatch(slot -> covers(slot, wanted));
    }

    /** Returns the indexes of the shapes that get a guaranteed shape of their own, assigned in the given order. */
    static List<Integer> indexesInside(WorkspacePolicy rules, List<Shape> shapes) {
        List<Shape> slots = slots(rules);
        List<Integer> inside = new ArrayList<>();
        for (int index = 0; index < shapes.size(); index++) {
            Shape shape = shapes.get(index);
            Optional<Shape> slot =
                    slots.stream().filter(free -> mayHold(free, shape)).findFirst();
            if (slot.isPresent()) {
                slots.remove(slot.get());
                inside.add(index);
            }
        }
        return inside;
    }

    private static List<Shape> slots(WorkspacePolicy rules) {
        List<Shape> slots = new ArrayList<>();
        for (Guarantee guarantee : rules.guarantees()) {
            for (int copy = 0; copy < guarantee.count(); copy++) {
                slots.add(guarantee.shape());
            }
        }
        slots.sort(Comparator.comparingInt(Shape::accelerators));
        return slots;
    }

    private static boolean covers(Shape guaranteed, Shape wanted) {
        boolean close = wanted.parts() == 1 || wanted.adjacency().compareTo(guaranteed.adjacency()) >= 0;
        return close && mayHold(guaranteed, wanted);
    }

    private static boolean mayHold(Shape guaranteed, Shape wanted) {
        return wanted.parts() <= guaranteed.parts() && wanted.perPart().fitsIn(guaranteed.perPart());
    }
}
