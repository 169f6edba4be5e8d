package org.fuchsiawinch.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Urgency;

/** Generates a seeded workload of a wholesaler: bundle plans, reorders that must not run twice, certificate checks. */
final class SampleWorkload {

    /** Time in ms from the start of the load to the jobs' deadline. */
    private static final long DEADLINE_MS = 600_000;
    /** Time in ms by which the declared run time exceeds the mean one. */
    private static final long DECLARED_RUN_MARGIN_MS = 5000;
    // Every eighth job is a plan; every third job is a reorder, unless it is a plan; the others are checks.
    private static final int PLAN_INTERVAL = 8;
    private static final int REORDER_INTERVAL = 3;

    private final SplittableRandom random;
    private final long nowMs;

    SampleWorkload(long seed, long nowMs) {
        this.random = new SplittableRandom(seed);
        this.nowMs = nowMs;
    }

    List<SampleJob> jobs(int count) {
        List<SampleJob> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(job(i));
        }
        return jobs;
    }

    private SampleJob job(int index) {
        if (index % PLAN_INTERVAL == 0) {
            int parts = 8 << random.nextInt(2);
            Adjacency adjacency = parts == 8 ? Adjacency.RACK : Adjacency.DATA_CENTRE;
            return createJob("plans", "plan-" + index, "bundle", parts, adjacency, 800, true);
        }
        if (index % REORDER_INTERVAL == 0) {
            return createJob("reorders", "reorder-" + index, "reorder", 1, Adjacency.WORKER, 300, false);
        }
        return createJob(
                "certificates", "check-" + index, "certificate", 1 + random.nextInt(4), Adjacency.WORKER, 200, true);
    }

    private SampleJob createJob(
            String workspace,
            String key,
            String kind,
            int parts,
            Adjacency adjacency,
            long meanRunMs,
            boolean idempotent) {
        long runMs = meanRunMs / 2 + random.nextLong(meanRunMs);
        return new SampleJob(
                workspace,
                key,
                kind,
                parts,
                new Resources(2000, 8192, 1, 1, 2),
                adjacency,
                DECLARED_RUN_MARGIN_MS + meanRunMs,
                idempotent,
                idempotent,
                Urgency.NORMAL,
                OptionalLong.of(nowMs + DEADLINE_MS),
                "run-ms=" + runMs + "\nanswer=" + key + "\n");
    }
}
