package org.fuchsiawinch.node.records;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.fuchsiawinch.core.Fragmentation;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.wire.JsonCodec;

/** Samples the system and writes samples and finished jobs as JSON Lines. Used only on the node loop's thread. */
public final class BurnReportRecorder {

    private static final int MAX_SAMPLES = 1440;

    private final JsonCodec json = new JsonCodec();
    private final Deque<SampleLine> samples = new ArrayDeque<>();

    /** Creates a recorder without samples. */
    public BurnReportRecorder() {
        // starts empty
    }

    /**
     * Records a sample, unless no document is in force; the oldest one is dropped if there are too many.
     *
     * @param fold state of the log
     * @param workers the platform's last list of workers
     * @param nowMs present time in ms since the epoch
     */
    public void sample(LogFold fold, List<WorkerSpec> workers, long nowMs) {
        Optional<Policy> policy = fold.document().inForce().map(inForce -> inForce.policy());
        if (policy.isEmpty()) {
            return;
        }
        double fragmentation = Fragmentation.largestGuaranteedShape(policy.get())
                .map(shape -> unusableShare(fold, workers, shape))
                .orElse(0.0);
        long waiting = fold.jobs().stream()
                .filter(job -> job.status() == JobStatus.WAITING)
                .count();
        samples.addLast(new SampleLine("sample", nowMs, fragmentation, waiting, totalSpendMicros(fold, policy.get())));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /**
     * Returns all finished jobs that the node still knows, and the samples.
     *
     * @param fold state of the log
     * @return JSON Lines; empty if no document is in force
     */
    public String lines(LogFold fold) {
        Optional<Policy> policy = fold.document().inForce().map(inForce -> inForce.policy());
        if (policy.isEmpty()) {
            return "";
        }
        String jobs = fold.jobs().stream()
                .flatMap(job -> JobLine.of(job, policy.get().prices()).stream())
                .map(this::jsonLine)
                .collect(Collectors.joining());
        return jobs + samples.stream().map(this::jsonLine).collect(Collectors.joining());
    }

    private String jsonLine(Object line) {
        return new String(json.encode(line), StandardCharsets.UTF_8) + "\n";
    }

    private static long totalSpendMicros(LogFold fold, Policy policy) {
        return fold.jobs().stream()
                .flatMap(job -> JobLine.of(job, policy.prices()).stream())
                .mapToLong(JobLine::spendMicros)
                .sum();
    }

    private static double unusableShare(LogFold fold, List<WorkerSpec> workers, Shape shape) {
        Map<WorkerId, Resources> used = new HashMap<>();
        fold.jobs().stream().filter(BurnReportRecorder::occupiesWorkers).forEach(job -> job.placements()
                .forEach(placement ->
                        used.merge(placement.worker(), job.spec().shape().perPart(), Resources::plus)));
        Map<WorkerSpec, Resources> free = new LinkedHashMap<>();
        workers.forEach(
                worker -> free.put(worker, worker.capacity().minus(used.getOrDefault(worker.id(), Resources.NONE))));
        return Fragmentation.unusableShare(free, shape);
    }

    private static boolean occupiesWorkers(JobEntry job) {
        return job.status() == JobStatus.PLACED || job.status() == JobStatus.RELEASED;
    }
}
