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
 * Sums the spend of each workspace per period: the accelerator time used, at the price in force when it started.
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
     * @param index number of the period; period 0 starts at time 0
     */
    public record Period(WorkspaceId workspace, long index) {}

    /**
     * Processes the next event.
     *
     * @param event the event
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
            startCharge(started.task(), started.atMs());
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            Charge charge = running.remove(ended.task());
            if (charge != null) {
                settle(charge, ended.atMs());
            }
        }
    }

    /**
     * Charges the parts that are still running.
     *
     * @param endMs time in ms up to which they are charged
     */
    public void finish(long endMs) {
        running.values().forEach(charge -> settle(charge, endMs));
        running.clear();
    }

    /**
     * Returns the spend so far, without parts that are still running.
     *
     * @return millionths of the currency unit by workspace and period
     */
    public Map<Period, Double> spentMicros() {
        return Collections.unmodifiableMap(spentMicros);
    }

    /**
     * Returns the spend of a workspace in the current period if each running part takes its worst-case run time.
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
     * Returns the worst-case cost of one job within its own guarantee, in millionths of the currency unit.
     */
    double worstCaseMicros(JobSpec job) {
        double microsPerMs = (double) policy.prices().acceleratorHourMicros()
                / HOUR_MS
                * job.shape().accelerators();
        return microsPerMs * worstRunMs(job);
    }

    private void promote(HistoryEvent.AttemptPromoted promoted) {
        lent.put(promoted.attempt(), false);
        for (TaskId task : List.copyOf(running.keySet())) {
            if (task.attempt().equals(promoted.attempt())) {
                settle(running.remove(task), promoted.atMs());
                startCharge(task, promoted.atMs());
            }
        }
    }

    private void startCharge(TaskId task, long nowMs) {
        AttemptId attempt = task.attempt();
        JobSpec job = jobs.get(attempt.job());
        if (job == null || policy == null) {
            return;
        }
        long hourMicros = lent.getOrDefault(attempt, false)
                ? policy.prices().lentAcceleratorHourMicros()
                : policy.prices().acceleratorHourMicros();
        double microsPerMs =
                (double) hourMicros / HOUR_MS * job.shape().perPart().accelerators();
        running.put(task, new Charge(job.workspace(), nowMs, microsPerMs, worstRunMs(job)));
    }

    private double worstRunMs(JobSpec job) {
        double factor = policy.estimates().maxFactor()
                * Math.max(1.0, policy.estimates().timeOverrunFactor());
        return job.declaredRunMs() * factor;
    }

    private void settle(Charge charge, long endMs) {
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
