package org.fuchsiawinch.replay.generate;

import java.util.OptionalLong;
import java.util.Random;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.replay.trace.TraceJob;

/** Creates random jobs of a kind. Not thread-safe. */
final class JobFactory {

    private static final int CPU_MILLIS_PER_ACCELERATOR = 2_000;
    /** Share of idempotent jobs that always fail. */
    private static final double POISON_SHARE = 0.006;
    /** Share of jobs that exceed their declared memory in traces with wrong estimates. */
    private static final double MEMORY_OVERRUN_SHARE = 0.25;

    private static final long MIN_CHECKPOINT_MS = 2_000;
    private static final int CHECKPOINT_SPREAD_MS = 12_000;

    private final Random random;
    private final int memoryPerAcceleratorMb;
    private final boolean wrongEstimates;
    private int count;

    JobFactory(Random random, SampleUser user, boolean wrongEstimates) {
        this.random = random;
        this.memoryPerAcceleratorMb = user.workerMemoryMb() / 16;
        this.wrongEstimates = wrongEstimates;
    }

    TraceJob create(Workload workload) {
        return create(workload, drawSize(workload));
    }

    TraceJob create(Workload workload, GangSize size) {
        count++;
        long trueRunMs = drawRunMs(workload);
        long declaredMs = Math.max(1_000, Math.round(trueRunMs * declaredFactor(workload) / 1_000) * 1_000);
        boolean idempotent = size.parts() > 32 || random.nextDouble() >= workload.nonIdempotentShare();
        boolean checkpointable = idempotent && random.nextDouble() < workload.checkpointableShare();
        Resources perPart = new Resources(
                CPU_MILLIS_PER_ACCELERATOR * size.accelerators(),
                memoryPerAcceleratorMb * size.accelerators(),
                size.accelerators(),
                1,
                1);
        Adjacency adjacency = size.parts() == 1 ? Adjacency.WORKER : size.adjacency();
        JobSpec spec = new JobSpec(
                new JobId(workload.kind() + "-" + count),
                new WorkspaceId(workload.workspace()),
                workload.kind(),
                new Shape(size.parts(), perPart, adjacency),
                declaredMs,
                idempotent,
                checkpointable,
                workload.urgency(),
                OptionalLong.empty());
        long checkpointMs = checkpointable
                ? MIN_CHECKPOINT_MS + random.nextInt(CHECKPOINT_SPREAD_MS)
                : TraceJob.DEFAULT_CHECKPOINT_MS;
        boolean poison = random.nextDouble() < POISON_SHARE && idempotent;
        return new TraceJob(spec, trueRunMs, trueMemoryMb(perPart.memoryMb()), checkpointMs, poison);
    }

    private GangSize drawSize(Workload workload) {
        int roll = random.nextInt(100);
        for (GangSize size : workload.sizes()) {
            roll -= size.weight();
            if (roll < 0) {
                return size;
            }
        }
        return workload.sizes().get(0);
    }

    private long drawRunMs(Workload workload) {
        double logMin = Math.log(workload.minRunSeconds());
        double logMax = Math.log(workload.maxRunSeconds());
        return Math.round(Math.exp(logMin + random.nextDouble() * (logMax - logMin)) * 1_000);
    }

    private double declaredFactor(Workload workload) {
        double spread = Math.exp(random.nextGaussian() * (wrongEstimates ? 0.9 : 0.3));
        if (!wrongEstimates) {
            return 1.2 * spread;
        }
        double bias = workload.minRunSeconds() >= 600 ? 0.3 : 4.0;
        return bias * spread;
    }

    private int trueMemoryMb(int declaredMb) {
        if (!wrongEstimates || random.nextDouble() >= MEMORY_OVERRUN_SHARE) {
            return declaredMb - declaredMb / 10;
        }
        return (int) Math.round(declaredMb * (1.05 + random.nextDouble()));
    }
}
