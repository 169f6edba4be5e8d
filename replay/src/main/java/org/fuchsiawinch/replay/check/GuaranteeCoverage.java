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
    static boolean unusedShapeCovers(WorkspacePolicy rules, Shape wanted, Collection<Shape> others) {
        List<Shape> largestFirst = new ArrayList<>(others);
        largestFirst.sort(Comparator.comparingInt(Shape::accelerators).reversed());
        List<Shape> unused = guaranteedShapes(rules);
        for (Shape other : largestFirst) {
            unused.stream()
                    .filter(guaranteed -> canHold(guaranteed, other))
                    .findFirst()
                    .ifPresent(unused::remove);
        }
        return unused.stream().anyMatch(guaranteed -> covers(guaranteed, wanted));
    }

    /** Returns the indexes of the shapes that get a guaranteed shape of their own, assigned in the given order. */
    static List<Integer> coveredIndexes(WorkspacePolicy rules, List<Shape> shapes) {
        List<Shape> unused = guaranteedShapes(rules);
        List<Integer> covered = new ArrayList<>();
        for (int index = 0; index < shapes.size(); index++) {
            Shape shape = shapes.get(index);
            Optional<Shape> found = unused.stream()
                    .filter(guaranteed -> canHold(guaranteed, shape))
                    .findFirst();
            if (found.isPresent()) {
                unused.remove(found.get());
                covered.add(index);
            }
        }
        return covered;
    }

    private static List<Shape> guaranteedShapes(WorkspacePolicy rules) {
        List<Shape> shapes = new ArrayList<>();
        for (Guarantee guarantee : rules.guarantees()) {
            for (int copy = 0; copy < guarantee.count(); copy++) {
                shapes.add(guarantee.shape());
            }
        }
        shapes.sort(Comparator.comparingInt(Shape::accelerators));
        return shapes;
    }

    private static boolean covers(Shape guaranteed, Shape wanted) {
        boolean adjacencySuffices = wanted.parts() == 1 || wanted.adjacency().compareTo(guaranteed.adjacency()) >= 0;
        return adjacencySuffices && canHold(guaranteed, wanted);
    }

    private static boolean canHold(Shape guaranteed, Shape wanted) {
        return wanted.parts() <= guaranteed.parts() && wanted.perPart().fitsIn(guaranteed.perPart());
    }
}
