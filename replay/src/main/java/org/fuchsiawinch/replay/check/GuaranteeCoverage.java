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
 * Tells whether all of a workspace's open jobs fit into its guaranteed shapes at once, one job a shape. Jobs that no
 * guaranteed shape covers are left out. Stateless.
 */
final class GuaranteeCoverage {

    private GuaranteeCoverage() {}

    /** Tells whether any guaranteed shape covers the given one. */
    static boolean covered(WorkspacePolicy rules, Shape shape) {
        return rules.guarantees().stream().anyMatch(guarantee -> covers(guarantee.shape(), shape));
    }

    /** Tells whether each of the shapes gets a guaranteed shape of its own. */
    static boolean allFit(WorkspacePolicy rules, Collection<Shape> shapes) {
        List<Shape> slots = slots(rules);
        List<Shape> largestFirst = new ArrayList<>(shapes);
        largestFirst.sort(Comparator.comparingInt(Shape::accelerators).reversed());
        for (Shape shape : largestFirst) {
            Optional<Shape> slot =
                    slots.stream().filter(free -> covers(free, shape)).findFirst();
            if (slot.isEmpty()) {
                return false;
            }
            slots.remove(slot.get());
        }
        return true;
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
        return close && wanted.parts() <= guaranteed.parts() && wanted.perPart().fitsIn(guaranteed.perPart());
    }
}
