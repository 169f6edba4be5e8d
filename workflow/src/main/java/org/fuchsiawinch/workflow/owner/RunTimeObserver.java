package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.workflow.forecast.RunKind;
import org.fuchsiawinch.workflow.forecast.RunTimeForecast;
import org.fuchsiawinch.workflow.job.TaskPhase;

/**
 * Passes the run times of ended runs to the model that learns from them, and logs how far estimates and forecasts were
 * off. A run whose beginning this owner has not seen, or that went on from a checkpoint, teaches nothing. Not
 * thread-safe.
 */
final class RunTimeObserver {

    /** Interval in ms between lines on the errors of the forecasts. */
    private static final long LINE_INTERVAL_MS = 10_000;

    /** Maximum number of queues in the lines; the others are left out. */
    private static final int MAX_QUEUES = 8;

    private final CellState state;
    private final Map<String, Errors> errors = new TreeMap<>();
    private long lastLineMs;

    /** Sums of the absolute log errors of the completed runs of a queue. */
    private static final class Errors {
        private int runs;
        private double ofEstimate;
        private double ofForecast;
        private Optional<RunTimeForecast> newest = Optional.empty();
    }

    RunTimeObserver(CellState state) {
        this.state = state;
    }

    /** Handles the end of a run; call before its task is marked as done. */
    void ended(ActiveRun run, WorkerReport.RunEnd end, long nowMs) {
        List<ActiveRun> members = members(run);
        // The first end of a gang counts; at the later ones members are missing.
        boolean whole = members.size() == (run.step().gang() ? run.step().count() : 1);
        boolean seen = whole
                && members.stream()
                        .allMatch(member -> member.stage == ActiveRun.Stage.RUNNING
                                && member.startOrders == 1
                                && !member.startUnanswered
                                && !member.resumed);
        if (!seen || run.task().phase() == TaskPhase.DONE) {
            return;
        }
        long startMs =
                members.stream().mapToLong(member -> member.confirmedMs).max().orElse(nowMs);
        double speed = members.stream()
                .mapToDouble(member -> member.worker.health.speed())
                .min()
                .orElse(1);
        boolean remote = members.stream().anyMatch(member -> member.remote);
        double estimatedMs = run.step().estimatedMs() * (remote ? state.settings.remoteFactor() : 1);
        double ratio = Math.max(1, nowMs - startMs) * speed / Math.max(1, estimatedMs);
        RunKind kind = RunTimePredictor.kind(run.job, run.step(), remote);
        boolean completed = end == WorkerReport.RunEnd.DONE;
        if (completed) {
            countErrors(kind, Math.log(ratio));
        }
        state.predictor.model().add(kind, ratio, completed);
    }

    /** Returns the runs that start and end together with a run, itself included. */
    private List<ActiveRun> members(ActiveRun run) {
        List<ActiveRun> members = new ArrayList<>(List.of(run));
        if (run.step().gang()) {
            for (ActiveRun other : state.runIndex.runsOf(run.job)) {
                boolean member = other != run
                        && other.id.task().step() == run.id.task().step()
                        && other.id.number() == run.id.number();
                if (member) {
                    members.add(other);
                }
            }
        }
        return members;
    }

    private void countErrors(RunKind kind, double logRatio) {
        if (!errors.containsKey(kind.queue()) && errors.size() >= MAX_QUEUES) {
            return;
        }
        Errors queue = errors.computeIfAbsent(kind.queue(), added -> new Errors());
        Optional<RunTimeForecast> forecast = state.predictor.model().forecast(kind);
        queue.runs++;
        queue.newest = forecast;
        queue.ofEstimate += Math.abs(logRatio);
        queue.ofForecast +=
                Math.abs(logRatio - forecast.map(RunTimeForecast::median).orElse(0.0));
    }

    /** Logs the errors since the last lines, once new ones are due. */
    void tick(long nowMs) {
        if (nowMs - lastLineMs < LINE_INTERVAL_MS) {
            return;
        }
        lastLineMs = nowMs;
        errors.forEach((queue, sums) -> state.log.line(
                "run-times",
                "queue",
                queue,
                "runs",
                sums.runs,
                "estimateError",
                mean(sums.ofEstimate, sums.runs),
                "forecastError",
                mean(sums.ofForecast, sums.runs),
                "medianRatio",
                sums.newest
                        .map(forecast -> rounded(Math.exp(forecast.median())))
                        .orElse(1.0),
                "tailRatio",
                sums.newest.map(forecast -> rounded(Math.exp(forecast.tail()))).orElse(1.0),
                "knownRuns",
                sums.newest.map(RunTimeForecast::observations).orElse(0.0)));
        errors.clear();
    }

    private static double mean(double sum, int count) {
        return rounded(sum / count);
    }

    private static double rounded(double value) {
        return Math.round(1000 * value) / 1000.0;
    }
}
