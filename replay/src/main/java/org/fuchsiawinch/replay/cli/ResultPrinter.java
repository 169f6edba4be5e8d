package org.fuchsiawinch.replay.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

import org.fuchsiawinch.replay.check.Promise;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.outcome.Target;

/** Formats measures and target results as text. Stateless. */
final class ResultPrinter {

    private static final double MS_PER_S = 1_000.0;
    private static final double ACCELERATOR_HOUR_MS = 3_600_000.0;
    private static final double MICROS = 1_000_000.0;
    private static final List<Column> COLUMNS = List.of(
            new Column("policy", Measures::policy),
            new Column("completed", measures -> Integer.toString(measures.jobs().completed())),
            new Column("refused", measures -> Integer.toString(measures.jobs().refused())),
            new Column(
                    "impossible", measures -> Integer.toString(measures.jobs().impossible())),
            new Column("broken", measures -> Integer.toString(measures.jobs().broken())),
            new Column("open", measures -> Integer.toString(measures.jobs().open())),
            new Column("mean_s", measures -> seconds(measures.completionMs().meanMs())),
            new Column("p50_s", measures -> seconds(measures.completionMs().p50Ms())),
            new Column("p95_s", measures -> seconds(measures.completionMs().p95Ms())),
            new Column("p99_s", measures -> seconds(measures.completionMs().p99Ms())),
            new Column("slowdown", measures -> decimal(measures.slowdownMean(), 2)),
            new Column("fragmentation", measures -> decimal(measures.fragmentation(), 4)),
            new Column("stranded_share", measures -> decimal(measures.strandedShare(), 4)),
            new Column("stranded_acc", measures -> decimal(measures.strandedAccelerators(), 1)),
            new Column(
                    "guaranteed_max_s",
                    measures -> seconds(measures.guaranteedStartMs().maxMs())),
            new Column("reclaim_max_s", measures -> seconds(measures.reclaimMs().maxMs())),
            new Column(
                    "large_wait_s",
                    measures -> seconds(measures.largestJobWaitMs().maxMs())),
            new Column("lost_acc_h", measures -> decimal(measures.lostWorkAcceleratorMs() / ACCELERATOR_HOUR_MS, 2)),
            new Column("spend", measures -> decimal(spendMicros(measures) / MICROS, 2)),
            new Column("promises_broken", measures -> Integer.toString(measures.violationCount())));

    /**
     * One column of the table.
     *
     * @param heading heading of the column
     * @param cell returns the text of the column for one row
     */
    private record Column(String heading, Function<Measures, String> cell) {}

    private ResultPrinter() {}

    static String table(String trace, List<Measures> all) {
        StringBuilder text = new StringBuilder("trace=" + trace + "\n");
        text.append(line(all, Column::heading));
        all.forEach(measures -> text.append(line(all, column -> column.cell().apply(measures))));
        all.forEach(measures -> text.append(promises(measures)));
        return text.toString();
    }

    static String verdict(Target.Verdict verdict) {
        Target target = verdict.target();
        return String.format(
                Locale.ROOT,
                "%-12s %-18s measured=%.3f limit=%.3f lower_bound=%.3f relative_to=%s at_most=%.2f",
                status(verdict),
                target.measure().label(),
                verdict.value(),
                verdict.limit(),
                verdict.bound(),
                target.reference(),
                target.atMost());
    }

    private static String status(Target.Verdict verdict) {
        if (verdict.met()) {
            return "met";
        }
        return verdict.outOfReach() ? "out-of-reach" : "missed";
    }

    private static String line(List<Measures> all, Function<Column, String> cell) {
        StringBuilder text = new StringBuilder();
        for (Column column : COLUMNS) {
            String align = text.isEmpty() ? "%-" : "  %";
            text.append(String.format(align + width(all, column) + "s", cell.apply(column)));
        }
        return text.append('\n').toString();
    }

    private static int width(List<Measures> all, Column column) {
        int widest = all.stream()
                .mapToInt(measures -> column.cell().apply(measures).length())
                .max()
                .orElse(1);
        return Math.max(widest, column.heading().length());
    }

    private static double spendMicros(Measures measures) {
        return measures.spend().stream()
                .mapToLong(Measures.WorkspaceSpend::totalMicros)
                .sum();
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

    private static String seconds(double ms) {
        return decimal(ms / MS_PER_S, 1);
    }

    private static String decimal(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }
}
