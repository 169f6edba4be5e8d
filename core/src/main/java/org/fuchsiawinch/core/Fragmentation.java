package org.fuchsiawinch.core;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerSpec;

/** Computes how much of the free capacity the largest guaranteed shape cannot use. Stateless. */
public final class Fragmentation {

    private Fragmentation() {}

    /**
     * Returns the guaranteed shape with the most accelerators.
     *
     * @param policy the policy in force
     * @return the shape, or empty if the policy has no guarantee
     */
    public static Optional<Shape> largestGuaranteedShape(Policy policy) {
        return policy.workspaces().values().stream()
                .flatMap(workspace -> workspace.guarantees().stream())
                .map(Guarantee::shape)
                .max(Comparator.comparingInt(Shape::accelerators).thenComparing(Shape::toString));
    }

    /**
     * Returns the share of the free accelerators that is left over when as many copies of a shape as possible are
     * placed.
     *
     * @param free free resources of each worker
     * @param shape the shape
     * @return a value between 0 and 1; 0 if no accelerator is free
     */
    public static double unusableShare(Map<WorkerSpec, Resources> free, Shape shape) {
        int total = free.values().stream().mapToInt(Resources::accelerators).sum();
        if (total == 0) {
            return 0;
        }
        Map<String, Integer> parts = new HashMap<>();
        free.forEach((worker, left) -> parts.merge(domain(worker, shape), fits(left, shape), Integer::sum));
        int copies = parts.values().stream()
                .mapToInt(fitting -> fitting / shape.parts())
                .sum();
        return 1.0 - (double) copies * shape.accelerators() / total;
    }

    private static int fits(Resources left, Shape shape) {
        Resources part = shape.perPart();
        int fitting = Integer.MAX_VALUE;
        fitting = Math.min(fitting, times(left.cpuMillis(), part.cpuMillis()));
        fitting = Math.min(fitting, times(left.memoryMb(), part.memoryMb()));
        fitting = Math.min(fitting, times(left.accelerators(), part.accelerators()));
        fitting = Math.min(fitting, times(left.slots(), part.slots()));
        fitting = Math.min(fitting, times(left.connections(), part.connections()));
        return fitting == Integer.MAX_VALUE ? 0 : fitting;
    }

    private static int times(int left, int part) {
        return part == 0 ? Integer.MAX_VALUE : Math.max(0, left) / part;
    }

    private static String domain(WorkerSpec worker, Shape shape) {
        return switch (shape.adjacency()) {
            case WORKER -> worker.id().value();
            case RACK -> worker.dataCentre() + "/" + worker.rack();
            case DATA_CENTRE -> worker.dataCentre();
        };
    }
}
