package org.fuchsiawinch.core;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against counting free accelerators as usable that a shape cannot use, because they are scattered over several
 * adjacency domains or lack memory.
 */
public class FragmentationTest {

    private static final Resources PART = new Resources(1000, 1024, 1, 1, 1);

    @Test
    public void scatteredAcceleratorsAreUnusable() {
        Shape eight = new Shape(8, PART, Adjacency.WORKER);
        assertEquals(Fragmentation.unusableShare(free(8, 1), eight), 1.0);
        assertEquals(Fragmentation.unusableShare(free(1, 8), eight), 0.0);
    }

    @Test
    public void rackAdjacencyCombinesTheWorkersOfARack() {
        Shape eight = new Shape(8, PART, Adjacency.RACK);
        assertEquals(Fragmentation.unusableShare(free(8, 1), eight), 0.0);
        assertEquals(Fragmentation.unusableShare(free(3, 4), eight), 1.0 / 3, 1e-9);
    }

    @Test
    public void acceleratorsWithoutMemoryAreUnusable() {
        Map<WorkerSpec, Resources> free = new HashMap<>();
        free.put(worker(0), new Resources(8000, 0, 8, 8, 8));
        assertEquals(Fragmentation.unusableShare(free, new Shape(8, PART, Adjacency.WORKER)), 1.0);
    }

    private static Map<WorkerSpec, Resources> free(int workers, int accelerators) {
        Map<WorkerSpec, Resources> free = new HashMap<>();
        for (int i = 0; i < workers; i++) {
            free.put(worker(i), PART.times(accelerators));
        }
        return free;
    }

    private static WorkerSpec worker(int index) {
        return new WorkerSpec(new WorkerId("w" + index), "suva-1", "r1", PART.times(8), 1.0);
    }
}
