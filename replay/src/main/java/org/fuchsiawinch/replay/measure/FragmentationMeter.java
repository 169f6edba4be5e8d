package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.check.ShapePacker;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Averages over time the share of free accelerators that can't be used for the largest guaranteed shape. Capacity
 * counts as taken from the decision to start until the part has ended. Not thread-safe.
 */
final class FragmentationMeter {

    private static final long SAMPLE_MS = 300_000;

    private final long untilMs;
    private final Map<WorkerId, WorkerSpec> serving = new TreeMap<>();
    private final Map<WorkerId, Resources> used = new HashMap<>();
    private final Map<TaskId, WorkerId> held = new HashMap<>();
    private final Map<JobId, Resources> perPart = new HashMap<>();
    private final List<Measures.FragmentationSample> samples = new ArrayList<>();
    private Optional<Shape> largest = Optional.empty();
    private double weighted;
    private double freeMs;
    private double strandedMs;
    private long measuredMs;
    private long lastMs;
    private long nextSampleMs;
    private double current;
    private int free;

    FragmentationMeter(long untilMs) {
        this.untilMs = untilMs;
    }

    void onEvent(HistoryEvent event) {
        advance(Math.min(event.atMs(), untilMs));
        if (apply(event)) {
            measure();
        }
    }

    double average() {
        return measuredMs == 0 ? 0 : weighted / measuredMs;
    }

    /** Gives the unusable share of all free accelerator time. */
    double strandedShare() {
        return freeMs == 0 ? 0 : strandedMs / freeMs;
    }

    /** Gives the time average of the number of unusable free accelerators. */
    double strandedAccelerators() {
        return measuredMs == 0 ? 0 : strandedMs / measuredMs;
    }

    List<Measures.FragmentationSample> samples() {
        return samples;
    }

    void finish() {
        advance(untilMs);
    }

    private void advance(long nowMs) {
        while (nextSampleMs < nowMs) {
            samples.add(new Measures.FragmentationSample(nextSampleMs, current, free));
            nextSampleMs += SAMPLE_MS;
        }
        if (nowMs > lastMs) {
            weighted += current * (nowMs - lastMs);
            freeMs += (double) free * (nowMs - lastMs);
            strandedMs += current * free * (nowMs - lastMs);
            measuredMs += nowMs - lastMs;
            lastMs = nowMs;
        }
    }

    private boolean apply(HistoryEvent event) {
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            largest = largestGuaranteed(inForce.policy());
        } else if (event instanceof HistoryEvent.WorkerUp up) {
            serving.put(up.worker().id(), up.worker());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            serving.remove(down.worker());
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            perPart.put(submitted.spec().id(), submitted.spec().shape().perPart());
            return false;
        } else if (event instanceof HistoryEvent.StartDecided start) {
            for (Placement placement : start.placements()) {
                hold(new TaskId(start.attempt(), placement.part()), placement.worker());
            }
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            release(ended.task());
        } else if (event instanceof HistoryEvent.AttemptClosed closed) {
            List.copyOf(held.keySet()).stream()
                    .filter(task -> task.attempt().equals(closed.attempt()))
                    .forEach(this::release);
        } else {
            return false;
        }
        return true;
    }

    private void hold(TaskId task, WorkerId worker) {
        held.put(task, worker);
        used.merge(worker, perPart.get(task.attempt().job()), Resources::plus);
    }

    private void release(TaskId task) {
        WorkerId worker = held.remove(task);
        if (worker != null) {
            used.computeIfPresent(
                    worker, (id, sum) -> sum.minus(perPart.get(task.attempt().job())));
        }
    }

    private void measure() {
        Map<WorkerSpec, Resources> left = new LinkedHashMap<>();
        free = 0;
        for (WorkerSpec worker : serving.values()) {
            Resources unused = worker.capacity().minus(used.getOrDefault(worker.id(), Resources.NONE));
            left.put(worker, unused);
            free += Math.max(0, unused.accelerators());
        }
        if (free == 0 || largest.isEmpty()) {
            current = 0;
            return;
        }
        int usable = ShapePacker.copies(left, largest.get()) * largest.get().accelerators();
        current = 1.0 - (double) usable / free;
    }

    private static Optional<Shape> largestGuaranteed(Policy policy) {
        return policy.workspaces().values().stream()
                .flatMap(rules -> rules.guarantees().stream())
                .map(Guarantee::shape)
                .max(Comparator.comparingInt(Shape::accelerators).thenComparing(Shape::toString));
    }
}
