package org.fuchsiawinch.report.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.ServiceLevel;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.JobRecord;
import org.fuchsiawinch.report.records.Records;
import org.fuchsiawinch.report.records.SpendSample;
import org.fuchsiawinch.report.records.SystemSample;

/** Computes a report from records and a document. Stateless. */
public final class BurnCalculator {

    private static final int HISTORY_INTERVALS = 60;
    private static final int RECENT_PERIOD_DIVISOR = 10;
    private static final double P95 = 0.95;
    private static final double MEDIAN = 0.5;

    private BurnCalculator() {}

    /**
     * Computes a report. Ignores records later than the time of the report.
     *
     * @param records the records
     * @param document the document with service levels and spending limits
     * @param nowMs time of the report, in ms since the Unix epoch
     * @return the report
     */
    public static BurnReport compute(Records records, Document document, long nowMs) {
        Map<WorkspaceId, List<JobRecord>> jobs = jobsByWorkspace(records, nowMs);
        List<SystemSample> samples = records.samples().stream()
                .filter(sample -> sample.atMs() <= nowMs)
                .sorted(Comparator.comparingLong(SystemSample::atMs))
                .toList();
        List<ServiceLevelBurn> serviceLevels = document.serviceLevels().stream()
                .map(level -> computeServiceLevel(level, jobs.getOrDefault(level.workspace(), List.of()), nowMs))
                .sorted(Comparator.comparingDouble(ServiceLevelBurn::budgetLeft))
                .toList();
        List<SpendBurn> spends = new ArrayList<>();
        new TreeMap<>(document.policy().workspaces())
                .forEach((workspace, policy) -> spends.add(computeSpend(
                        workspace, policy, jobs.getOrDefault(workspace, List.of()), records.spends(), nowMs)));
        List<WorkspaceSummary> summaries = new ArrayList<>();
        jobs.forEach((workspace, workspaceJobs) -> summaries.add(summarize(workspace, workspaceJobs)));
        return new BurnReport(
                nowMs, document.currency(), serviceLevels, spends, summaries, samples, meanFragmentation(samples));
    }

    private static Map<WorkspaceId, List<JobRecord>> jobsByWorkspace(Records records, long nowMs) {
        Map<WorkspaceId, List<JobRecord>> jobs = new TreeMap<>();
        for (JobRecord job : records.jobs()) {
            if (job.endedMs() <= nowMs) {
                jobs.computeIfAbsent(job.workspace(), id -> new ArrayList<>()).add(job);
            }
        }
        return jobs;
    }

    private static ServiceLevelBurn computeServiceLevel(ServiceLevel level, List<JobRecord> jobs, long nowMs) {
        ServiceLevelEvents events = ServiceLevelEvents.of(level, jobs);
        long startMs = nowMs - level.windowMs();
        ServiceLevelEvents.EventCounts total = events.count(startMs, nowMs);
        double allowedBadEvents = (1 - level.targetShare()) * (total.good() + total.bad());
        double budgetLeft = total.bad() == 0 ? 1 : 1 - total.bad() / allowedBadEvents;
        List<WindowBurn> windows = new ArrayList<>();
        for (BurnAlert alert : BurnAlert.values()) {
            windows.add(computeWindow(alert, level, events, nowMs));
        }
        return new ServiceLevelBurn(
                level,
                total.good(),
                total.bad(),
                budgetLeft,
                windows,
                computeHistory(events, allowedBadEvents, startMs, nowMs));
    }

    private static WindowBurn computeWindow(
            BurnAlert alert, ServiceLevel level, ServiceLevelEvents events, long nowMs) {
        long longMs = alert.longWindowMs(level.windowMs());
        long shortMs = alert.shortWindowMs(level.windowMs());
        double longBurn = events.count(nowMs - longMs, nowMs).burnRate(level.targetShare());
        double shortBurn = events.count(nowMs - shortMs, nowMs).burnRate(level.targetShare());
        boolean firing = Math.min(longBurn, shortBurn) >= alert.threshold();
        return new WindowBurn(alert, longMs, shortMs, longBurn, shortBurn, firing);
    }

    /** Returns points at even intervals from the first event in the window to the report; empty without events. */
    private static List<BudgetPoint> computeHistory(
            ServiceLevelEvents events, double allowedBadEvents, long startMs, long nowMs) {
        Optional<Long> firstMs = events.asList().stream()
                .map(ServiceLevelEvents.Event::atMs)
                .filter(atMs -> atMs > startMs)
                .findFirst();
        List<BudgetPoint> points = new ArrayList<>();
        if (firstMs.isEmpty()) {
            return points;
        }
        long spanMs = nowMs - firstMs.get();
        for (int i = 0; i <= HISTORY_INTERVALS; i++) {
            long atMs = firstMs.get() + spanMs * i / HISTORY_INTERVALS;
            points.add(new BudgetPoint(atMs, events.count(startMs, atMs).bad() / allowedBadEvents));
        }
        return points;
    }

    private static SpendBurn computeSpend(
            WorkspaceId workspace,
            WorkspacePolicy policy,
            List<JobRecord> jobs,
            List<SpendSample> samples,
            long nowMs) {
        long periodMs = policy.spendPeriodMs();
        Optional<SpendSample> sample = samples.stream()
                .filter(candidate -> candidate.workspace().equals(workspace))
                .filter(candidate -> candidate.atMs() <= nowMs && candidate.atMs() > nowMs - periodMs)
                .max(Comparator.comparingLong(SpendSample::atMs));
        long endedJobsMicros = spendOfEndedJobs(jobs, nowMs - periodMs);
        long recentMicros = spendOfEndedJobs(jobs, nowMs - periodMs / RECENT_PERIOD_DIVISOR);
        double limitMicros = policy.spendLimitMicros().orElse(0);
        double recentRate = limitMicros == 0 ? 0 : recentMicros * RECENT_PERIOD_DIVISOR / limitMicros;
        return new SpendBurn(
                workspace,
                policy.spendLimitMicros(),
                periodMs,
                sample.map(SpendSample::periodSpendMicros).orElse(endedJobsMicros),
                recentRate,
                sample.isPresent());
    }

    private static long spendOfEndedJobs(List<JobRecord> jobs, long afterMs) {
        return jobs.stream()
                .filter(job -> job.endedMs() > afterMs)
                .mapToLong(JobRecord::spendMicros)
                .sum();
    }

    private static WorkspaceSummary summarize(WorkspaceId workspace, List<JobRecord> jobs) {
        Map<JobOutcome, Integer> outcomes = new EnumMap<>(JobOutcome.class);
        jobs.forEach(job -> outcomes.merge(job.outcome(), 1, Integer::sum));
        List<Long> completionTimesMs = jobs.stream()
                .filter(job -> job.outcome().ran())
                .map(job -> job.endedMs() - job.submittedMs())
                .sorted()
                .toList();
        return new WorkspaceSummary(
                workspace, outcomes, quantile(completionTimesMs, MEDIAN), quantile(completionTimesMs, P95));
    }

    /** Returns the quantile by the nearest-rank method; 0 for an empty list. */
    private static long quantile(List<Long> sorted, double share) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int rank = (int) Math.ceil(share * sorted.size());
        return sorted.get(Math.max(0, rank - 1));
    }

    private static double meanFragmentation(List<SystemSample> samples) {
        if (samples.isEmpty()) {
            return 0;
        }
        double weightedSum = 0;
        for (int i = 1; i < samples.size(); i++) {
            SystemSample before = samples.get(i - 1);
            weightedSum += before.fragmentation() * (samples.get(i).atMs() - before.atMs());
        }
        long spanMs = samples.get(samples.size() - 1).atMs() - samples.get(0).atMs();
        return spanMs == 0 ? samples.get(0).fragmentation() : weightedSum / spanMs;
    }
}
