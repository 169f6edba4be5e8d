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

    private static final int HISTORY_POINTS = 60;
    private static final int RECENT_PARTS = 10;
    private static final double P95 = 0.95;
    private static final double MEDIAN = 0.5;

    private BurnCalculator() {}

    /**
     * Computes a report. Ignores records later than the time of the report.
     *
     * @param records the records
     * @param document the document with service levels and spending limits
     * @param nowMs time of the report, in ms since the epoch
     */
    public static BurnReport compute(Records records, Document document, long nowMs) {
        Map<WorkspaceId, List<JobRecord>> jobs = byWorkspace(records, nowMs);
        List<SystemSample> samples = records.samples().stream()
                .filter(sample -> sample.atMs() <= nowMs)
                .sorted(Comparator.comparingLong(SystemSample::atMs))
                .toList();
        List<ObjectiveBurn> objectives = document.serviceLevels().stream()
                .map(level -> objective(level, jobs.getOrDefault(level.workspace(), List.of()), nowMs))
                .sorted(Comparator.comparingDouble(ObjectiveBurn::budgetLeft))
                .toList();
        List<SpendBurn> spends = new ArrayList<>();
        new TreeMap<>(document.policy().workspaces())
                .forEach((workspace, policy) -> spends.add(
                        spend(workspace, policy, jobs.getOrDefault(workspace, List.of()), records.spends(), nowMs)));
        List<WorkspaceSummary> summaries = new ArrayList<>();
        jobs.forEach((workspace, own) -> summaries.add(summary(workspace, own)));
        return new BurnReport(
                nowMs, document.currency(), objectives, spends, summaries, samples, meanFragmentation(samples));
    }

    private static Map<WorkspaceId, List<JobRecord>> byWorkspace(Records records, long nowMs) {
        Map<WorkspaceId, List<JobRecord>> jobs = new TreeMap<>();
        for (JobRecord job : records.jobs()) {
            if (job.endedMs() <= nowMs) {
                jobs.computeIfAbsent(job.workspace(), id -> new ArrayList<>()).add(job);
            }
        }
        return jobs;
    }

    private static ObjectiveBurn objective(ServiceLevel level, List<JobRecord> jobs, long nowMs) {
        ServiceLevelEvents events = ServiceLevelEvents.of(level, jobs);
        long startMs = nowMs - level.windowMs();
        ServiceLevelEvents.EventCounts total = events.count(startMs, nowMs);
        double allowed = (1 - level.targetShare()) * (total.good() + total.bad());
        double budgetLeft = total.bad() == 0 ? 1 : 1 - total.bad() / allowed;
        List<WindowBurn> windows = new ArrayList<>();
        for (BurnAlert alert : BurnAlert.values()) {
            windows.add(window(alert, level, events, nowMs));
        }
        return new ObjectiveBurn(
                level, total.good(), total.bad(), budgetLeft, windows, history(events, allowed, startMs, nowMs));
    }

    private static WindowBurn window(BurnAlert alert, ServiceLevel level, ServiceLevelEvents events, long nowMs) {
        long longMs = alert.longWindowMs(level.windowMs());
        long shortMs = alert.shortWindowMs(level.windowMs());
        double longBurn = events.count(nowMs - longMs, nowMs).burnRate(level.targetShare());
        double shortBurn = events.count(nowMs - shortMs, nowMs).burnRate(level.targetShare());
        boolean firing = Math.min(longBurn, shortBurn) >= alert.threshold();
        return new WindowBurn(alert, longMs, shortMs, longBurn, shortBurn, firing);
    }

    private static List<BudgetPoint> history(ServiceLevelEvents events, double allowed, long startMs, long nowMs) {
        Optional<Long> firstMs = events.asList().stream()
                .map(ServiceLevelEvents.Event::atMs)
                .filter(atMs -> atMs > startMs)
                .findFirst();
        List<BudgetPoint> points = new ArrayList<>();
        if (firstMs.isEmpty()) {
            return points;
        }
        long spanMs = nowMs - firstMs.get();
        for (int i = 0; i <= HISTORY_POINTS; i++) {
            long atMs = firstMs.get() + spanMs * i / HISTORY_POINTS;
            points.add(new BudgetPoint(atMs, events.count(startMs, atMs).bad() / allowed));
        }
        return points;
    }

    private static SpendBurn spend(
            WorkspaceId workspace,
            WorkspacePolicy policy,
            List<JobRecord> jobs,
            List<SpendSample> samples,
            long nowMs) {
        long periodMs = policy.spendPeriodMs();
        Optional<SpendSample> sample = samples.stream()
                .filter(each -> each.workspace().equals(workspace))
                .filter(each -> each.atMs() <= nowMs && each.atMs() > nowMs - periodMs)
                .max(Comparator.comparingLong(SpendSample::atMs));
        long ended = endedSpend(jobs, nowMs - periodMs);
        long recent = endedSpend(jobs, nowMs - periodMs / RECENT_PARTS);
        double limit = policy.spendLimitMicros().orElse(0);
        double recentRate = limit == 0 ? 0 : recent * RECENT_PARTS / limit;
        return new SpendBurn(
                workspace,
                policy.spendLimitMicros(),
                periodMs,
                sample.map(SpendSample::periodSpendMicros).orElse(ended),
                recentRate,
                sample.isPresent());
    }

    private static long endedSpend(List<JobRecord> jobs, long afterMs) {
        return jobs.stream()
                .filter(job -> job.endedMs() > afterMs)
                .mapToLong(JobRecord::spendMicros)
                .sum();
    }

    private static WorkspaceSummary summary(WorkspaceId workspace, List<JobRecord> jobs) {
        Map<JobOutcome, Integer> outcomes = new EnumMap<>(JobOutcome.class);
        jobs.forEach(job -> outcomes.merge(job.outcome(), 1, Integer::sum));
        List<Long> times = jobs.stream()
                .filter(job -> job.outcome().ran())
                .map(job -> job.endedMs() - job.submittedMs())
                .sorted()
                .toList();
        return new WorkspaceSummary(workspace, outcomes, quantile(times, MEDIAN), quantile(times, P95));
    }

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
        double weighted = 0;
        for (int i = 1; i < samples.size(); i++) {
            SystemSample before = samples.get(i - 1);
            weighted += before.fragmentation() * (samples.get(i).atMs() - before.atMs());
        }
        long spanMs = samples.get(samples.size() - 1).atMs() - samples.get(0).atMs();
        return spanMs == 0 ? samples.get(0).fragmentation() : weighted / spanMs;
    }
}
