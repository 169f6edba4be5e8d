package org.fuchsiawinch.replay.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.fuchsiawinch.replay.check.Promise;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.outcome.Target;

/** Lays out figures as text. Stateless. */
final class ResultPrinter {

    private static final double MS_PER_S = 1_000.0;
    private static final double ACCELERATOR_HOUR_MS = 3_600_000.0;
    private static final double MICROS = 1_000_000.0;
    private static final String[] HEADINGS = {
        "policy",
        "completed",
        "refused",
        "impossible",
        "broken",
        "open",
        "mean_s",
        "p50_s",
        "p95_s",
        "p99_s",
        "slowdown",
        "fragmentation",
        "guaranteed_max_s",
        "reclaim_max_s",
        "large_wait_s",
        "lost_acc_h",
        "spend",
        "promises_broken"
    };

    private ResultPrinter() {}

    static String table(String trace, List<Measures> all) {
        List<String[]> rows = new ArrayList<>();
        rows.add(HEADINGS);
        all.forEach(measures -> rows.add(row(measures)));
        StringBuilder text = new StringBuilder("trace=" + trace + "\n");
        for (String[] row : rows) {
            for (int column = 0; column < row.length; column++) {
                int width = width(rows, column);
                String format = column == 0 ? "%-" + width + "s" : "  %" + width + "s";
                text.append(String.format(format, row[column]));
            }
            text.append('\n');
        }
        all.forEach(measures -> text.append(promises(measures)));
        return text.toString();
    }

    static String verdict(Target.Verdict verdict) {
        Target target = verdict.target();
        return String.format(
                Locale.ROOT,
                "%-6s %-18s measured=%.3f limit=%.3f relative_to=%s at_most=%.2f",
                verdict.met() ? "met" : "missed",
                target.measure().label(),
                verdict.value(),
                verdict.limit(),
                target.reference(),
                target.atMost());
    }

    private static String[] row(Measures measures) {
        Measures.JobCounts jobs = measures.jobs();
        double spend = measures.spend().stream()
                        .mapToLong(Measures.WorkspaceSpend::totalMicros)
                        .sum()
                / MICROS;
        return new String[] {
            measures.policy(),
            Integer.toString(jobs.completed()),
            Integer.toString(jobs.refused()),
            Integer.toString(jobs.impossible()),
            Integer.toString(jobs.broken()),
            Integer.toString(jobs.open()),
            seconds(measures.completionMs().meanMs()),
            seconds(measures.completionMs().p50Ms()),
            seconds(measures.completionMs().p95Ms()),
            seconds(measures.completionMs().p99Ms()),
            decimal(measures.slowdownMean(), 2),
            decimal(measures.fragmentation(), 4),
            decimal(measures.strandedShare(), 4),
            decimal(measures.strandedAccelerators(), 1),
            seconds(measures.guaranteedStartMs().maxMs()),
            seconds(measures.reclaimMs().maxMs()),
            seconds(measures.largestJobWaitMs().maxMs()),
            decimal(measures.lostWorkAcceleratorMs() / ACCELERATOR_HOUR_MS, 2),
            decimal(spend, 2),
            Integer.toString(measures.violations())
        };
    }

    private static String promises(Measures measures) {
        StringBuilder text = new StringBuilder("promises policy=" + measures.policy());
        for (Map.Entry<Promise, Integer> entry : measures.promisesBroken().entrySet()) {
            text.append(' ')
                    .append(entry.getKey().name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(entry.getValue());
        }
        return text.append('\n').toString();
    }

    private static int width(List<String[]> rows, int column) {
        return rows.stream().mapToInt(row -> row[column].length()).max().orElse(1);
    }

    private static String seconds(double ms) {
        return decimal(ms / MS_PER_S, 1);
    }

    private static String decimal(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
