package org.fuchsiawinch.quickstart;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Renders the results of the sample load as a table with one line for each workspace and a total. Stateless. */
final class ResultTable {

    private static final double MICROS_PER_UNIT = 1e6;

    private ResultTable() {}

    /** Returns the table; mean and p95 are of completion times in ms, 0 where no job completed. */
    static String render(List<SampleJob> jobs, Map<String, JobResult> results, RecordSummary records) {
        StringBuilder table = new StringBuilder(String.format(
                "%-14s %6s %10s %8s %8s %8s %8s %9s %10s%n",
                "workspace", "jobs", "completed", "not-run", "broken", "mean ms", "p95 ms", "attempts", "spend"));
        Map<String, List<SampleJob>> byWorkspace =
                jobs.stream().collect(Collectors.groupingBy(SampleJob::workspace, TreeMap::new, Collectors.toList()));
        byWorkspace.forEach((workspace, workspaceJobs) -> table.append(
                line(workspace, workspaceJobs, results, records.spendMicros().getOrDefault(workspace, 0L))));
        table.append(line("all", jobs, results, records.totalMicros()));
        return table.append(String.format(
                        "fragmentation: %.3f on average of %d samples%n", records.fragmentation(), records.samples()))
                .toString();
    }

    private static String line(String name, List<SampleJob> jobs, Map<String, JobResult> results, long spendMicros) {
        List<JobResult> known = jobs.stream()
                .map(job -> results.get(job.id()))
                .filter(result -> result != null)
                .toList();
        long[] completions = known.stream()
                .filter(result -> hasOutcome(result, "completed"))
                .mapToLong(result -> result.finishedMs() - result.submittedMs())
                .sorted()
                .toArray();
        return String.format(
                "%-14s %6d %10d %8d %8d %8.0f %8d %9d %10.4f%n",
                name,
                jobs.size(),
                completions.length,
                known.stream().filter(result -> hasOutcome(result, "not-run")).count(),
                known.stream().filter(result -> hasOutcome(result, "broken")).count(),
                Arrays.stream(completions).average().orElse(0),
                percentile(completions, 95),
                known.stream().mapToInt(JobResult::attempt).sum(),
                spendMicros / MICROS_PER_UNIT);
    }

    private static boolean hasOutcome(JobResult result, String outcome) {
        return result.outcome().filter(outcome::equals).isPresent();
    }

    private static long percentile(long[] sorted, int percent) {
        if (sorted.length == 0) {
            return 0;
        }
        return sorted[Math.min(sorted.length - 1, sorted.length * percent / 100)];
    }
}
