package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.check.ShapePacker;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;

/**
 * Lower bounds of measures that hold for every schedule of a trace, whatever the policy.
 *
 * @param completionMeanMs mean run time in ms of the requests, each on the fastest workers that can hold it
 * @param completionP95Ms 95th percentile of these run times in ms
 * @param largestJobWaitMs longest wait in ms among jobs of a shape that fits only once at a time, so that they run one
 *     after another
 */
public record LowerBounds(double completionMeanMs, double completionP95Ms, double largestJobWaitMs) {

    /**
     * Computes the bounds of a trace.
     *
     * @param trace the trace
     * @return its bounds
     */
    public static LowerBounds of(Trace trace) {
        Map<WorkerSpec, Resources> workers = new LinkedHashMap<>();
        Set<JobId> cancelled = new HashSet<>();
        for (TraceEvent event : trace.events()) {
            if (event instanceof TraceEvent.WorkerJoins joins) {
                workers.put(joins.worker(), joins.worker().capacity());
            } else if (event instanceof TraceEvent.Cancel cancel) {
                cancelled.add(cancel.job());
            }
        }
        List<IdealRun> idealRuns = idealRuns(trace, workers, cancelled);
        Distribution runs =
                Distribution.of(idealRuns.stream().map(IdealRun::runMs).toList());
        return new LowerBounds(runs.meanMs(), runs.p95Ms(), serialWaitMs(idealRuns, workers));
    }

    private static List<IdealRun> idealRuns(Trace trace, Map<WorkerSpec, Resources> workers, Set<JobId> cancelled) {
        Map<Shape, Double> speeds = new HashMap<>();
        List<IdealRun> idealRuns = new ArrayList<>();
        for (TraceEvent event : trace.events()) {
            if (!(event instanceof TraceEvent.Submit submit)) {
                continue;
            }
            Shape shape = submit.job().spec().shape();
            double speed = speeds.computeIfAbsent(shape, wanted -> bestSpeed(wanted, workers));
            boolean included = !submit.job().alwaysFails()
                    && !cancelled.contains(submit.job().spec().id());
            if (included && speed > 0) {
                idealRuns.add(
                        new IdealRun(shape, submit.atMs(), (long) (submit.job().trueRunMs() / speed)));
            }
        }
        return idealRuns;
    }

    /** Returns the highest speed at which some set of workers can hold the shape, or 0 if none can. */
    private static double bestSpeed(Shape shape, Map<WorkerSpec, Resources> workers) {
        Map<WorkerSpec, Resources> fastest = new LinkedHashMap<>();
        List<WorkerSpec> bySpeed = workers.keySet().stream()
                .sorted((one, other) -> Double.compare(other.speed(), one.speed()))
                .toList();
        for (WorkerSpec worker : bySpeed) {
            fastest.put(worker, worker.capacity());
            if (ShapePacker.copies(fastest, shape) > 0) {
                return worker.speed();
            }
        }
        return 0;
    }

    private static double serialWaitMs(List<IdealRun> idealRuns, Map<WorkerSpec, Resources> workers) {
        Map<Shape, List<IdealRun>> byShape = new LinkedHashMap<>();
        idealRuns.forEach(run ->
                byShape.computeIfAbsent(run.shape(), shape -> new ArrayList<>()).add(run));
        double bound = 0;
        for (Map.Entry<Shape, List<IdealRun>> entry : byShape.entrySet()) {
            if (ShapePacker.copies(workers, entry.getKey()) == 1) {
                bound = Math.max(bound, serialWaitMs(entry.getValue()));
            }
        }
        return bound;
    }

    /**
     * Returns a lower bound in ms of the longest wait among jobs that run one after another: of any consecutive
     * submits, the job that starts last waits until all others have run.
     */
    private static double serialWaitMs(List<IdealRun> inOrder) {
        double bound = 0;
        for (int first = 0; first < inOrder.size(); first++) {
            long sumMs = 0;
            long latestMs = 0;
            for (IdealRun run : inOrder.subList(first, inOrder.size())) {
                sumMs += run.runMs();
                latestMs = Math.max(latestMs, run.submitMs() + run.runMs());
                bound = Math.max(bound, inOrder.get(first).submitMs() + sumMs - latestMs);
            }
        }
        return bound;
    }

    private record IdealRun(Shape shape, long submitMs, long runMs) {}
}
