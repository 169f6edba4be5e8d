package org.fuchsiawinch.replay.check;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Sums up what each workspace spent in each period: accelerator time that ran, at the price in force at its start.
 * Periods start at multiples of their length. Not thread-safe.
 */
public final class SpendLedger {

    private static final long HOUR_MS = 3_600_000;

    private final Map<JobId, JobSpec> jobs = new HashMap<>();
    private final Map<AttemptId, Boolean> lent = new HashMap<>();
    private final Map<TaskId, Charge> running = new LinkedHashMap<>();
    private final Map<Period, Double> spentMicros = new LinkedHashMap<>();
    private Policy policy;

    /**
     * One spending period of a workspace.
     *
     * @param workspace the workspace
     * @param index number of the period from time 0 on
     */
    public record Period(WorkspaceId workspace, long index) {}

    /**
     * Takes the next fact.
     *
     * @param event the fact
     */
    public void onEvent(HistoryEvent event) {
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            policy = inForce.policy();
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            jobs.put(submitted.spec().id(), submitted.spec());
        } else if (event instanceof HistoryEvent.StartDecided start) {
            lent.put(start.attempt(), start.lent());
        } else if (event instanceof HistoryEvent.AttemptPromoted promoted) {
            promote(promoted);
        } else if (event instanceof HistoryEvent.PartStarted started) {
            begin(started.task(), started.atMs());
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            Charge charge = running.remove(ended.task());
            if (charge != null) {
                add(charge, ended.atMs());
            }
        }
    }

    /**
     * Charges what still runs.
     *
     * @param endMs time in ms up to which it is charged
     */
    public void finish(long endMs) {
        running.values().forEach(charge -> add(charge, endMs));
        running.clear();
    }

    /**
     * Gives all sums so far, without what still runs.
     *
     * @return millionths of the currency unit by workspace and period
     */
    public Map<Period, Double> spentMicros() {
        return Collections.unmodifiableMap(spentMicros);
    }

    /**
     * Estimates the sum of a workspace's period when all that runs takes its worst case.
     *
     * @param workspace the workspace
     * @param nowMs present time in ms
     * @return millionths of the currency unit
     */
    double worstCaseMicros(WorkspaceId workspace, long nowMs) {
        Period period = period(workspace, nowMs);
        double sum = spentMicros.getOrDefault(period, 0.0);
        for (Charge charge : running.values()) {
            if (charge.workspace().equals(workspace)) {
                sum += charge.microsPerMs() * Math.max(charge.worstRunMs(), nowMs - charge.startMs());
            }
        }
        return sum;
    }

    /**
     * Gives the worst-case cost of one job on its own guarantee.
     */
    double worstCaseMicros(JobSpec job) {
        double perMs = (double) policy.prices().acceleratorHourMicros()
                / HOUR_MS
                * job.shape().accelerators();
        return perMs * worstRunMs(job);
    }

    private void promote(HistoryEvent.AttemptPromoted promoted) {
        lent.put(promoted.attempt(), false);
        for (TaskId task : List.copyOf(running.keySet())) {
            if (task.attempt().equals(promoted.attempt())) {
                add(running.remove(task), promoted.atMs());
                begin(task, promoted.atMs());
            }
        }
    }

    private void begin(TaskId task, long nowMs) {
        AttemptId attempt = task.attempt();
        JobSpec job = jobs.get(attempt.job());
        if (job == null || policy == null) {
            return;
        }
        long hourMicros = lent.getOrDefault(attempt, false)
                ? policy.prices().lentAcceleratorHourMicros()
                : policy.prices().acceleratorHourMicros();
        double perMs = (double) hourMicros / HOUR_MS * job.shape().perPart().accelerators();
        running.put(task, new Charge(job.workspace(), nowMs, perMs, worstRunMs(job)));
    }

    private double worstRunMs(JobSpec job) {
        double factor = policy.estimates().maxFactor()
                * Math.max(1.0, policy.estimates().timeOverrunFactor());
        return job.declaredRunMs() * factor;
    }

    private void add(Charge charge, long endMs) {
        long periodMs = periodMs(charge.workspace());
        long fromMs = charge.startMs();
        while (fromMs < endMs) {
            long index = fromMs / periodMs;
            long untilMs = Math.min(endMs, (index + 1) * periodMs);
            spentMicros.merge(
                    new Period(charge.workspace(), index), charge.microsPerMs() * (untilMs - fromMs), Double::sum);
            fromMs = untilMs;
        }
    }

    private Period period(WorkspaceId workspace, long nowMs) {
        return new Period(workspace, nowMs / periodMs(workspace));
    }

    private long periodMs(WorkspaceId workspace) {
        WorkspacePolicy rules = policy.workspaces().get(workspace);
        return rules == null || rules.spendPeriodMs() <= 0 ? Long.MAX_VALUE / 2 : rules.spendPeriodMs();
    }

    private record Charge(WorkspaceId workspace, long startMs, double microsPerMs, double worstRunMs) {}
}
