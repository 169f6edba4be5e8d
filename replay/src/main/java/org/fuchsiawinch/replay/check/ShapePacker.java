package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerSpec;

/** Counts how many copies of a shape fit into free capacity. Stateless. */
public final class ShapePacker {

    private ShapePacker() {}

    /**
     * Returns how many copies of a shape could run at the same time.
     *
     * @param free free capacity of each usable worker
     * @param shape the shape
     * @return number of copies
     */
    public static int copies(Map<WorkerSpec, Resources> free, Shape shape) {
        Map<String, Integer> partsByDomain = new HashMap<>();
        free.forEach((worker, left) ->
                partsByDomain.merge(domain(worker, shape), parts(left, shape.perPart()), Integer::sum));
        return partsByDomain.values().stream()
                .mapToInt(parts -> parts / shape.parts())
                .sum();
    }

    private static int parts(Resources left, Resources perPart) {
        int parts = Integer.MAX_VALUE;
        parts = Math.min(parts, times(left.cpuMillis(), perPart.cpuMillis()));
        parts = Math.min(parts, times(left.memoryMb(), perPart.memoryMb()));
        parts = Math.min(parts, times(left.accelerators(), perPart.accelerators()));
        parts = Math.min(parts, times(left.slots(), perPart.slots()));
        parts = Math.min(parts, times(left.connections(), perPart.connections()));
        return parts;
    }

    private static int times(int left, int each) {
        if (each == 0) {
            return left < 0 ? 0 : Integer.MAX_VALUE / 1024;
        }
        return Math.max(0, left / each);
    }

    private static String domain(WorkerSpec worker, Shape shape) {
        return switch (shape.adjacency()) {
            case WORKER -> worker.id().value();
            case RACK -> worker.dataCentre() + "/" + worker.rack();
            case DATA_CENTRE -> worker.dataCentre();
        };
    }
}
