package org.fuchsiawinch.ctl.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import org.fuchsiawinch.ctl.output.TextTable;
import org.fuchsiawinch.replay.check.Promise;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.measure.Measures.WorkspaceSpend;

/** Formats a plan as a table with one column for each variant. Stateless. */
public final class PlanTable {

    private static final double PERCENT = 100;

    private PlanTable() {}

    /**
     * Formats the results of all variants. The last column is the change from the first variant to the last.
     *
     * @param currency currency of amounts
     * @param columns at least two variants, the document in force first and the proposed one last
     * @return lines, each with a trailing line break
     */
    public static String render(String currency, List<PlanColumn> columns) {
        Measures first = columns.get(0).measures();
        Measures last = columns.get(columns.size() - 1).measures();
        List<String> header = new ArrayList<>(List.of("measure"));
        columns.forEach(column -> header.add(column.name()));
        header.add("change");
        List<List<String>> rows = new ArrayList<>();
        List<PlanRow> planRows = new ArrayList<>(PlanRow.all(currency, workspaces(columns)));
        brokenPromises(columns).map(PlanRow::brokenPromise).forEach(planRows::add);
        for (PlanRow planRow : planRows) {
            List<String> row = new ArrayList<>(List.of(planRow.label()));
            columns.forEach(column -> row.add(formatNumber(planRow.value().applyAsDouble(column.measures()))));
            row.add(formatChange(
                    planRow.value().applyAsDouble(first), planRow.value().applyAsDouble(last)));
            rows.add(row);
        }
        return TextTable.withHeader(header, rows);
    }

    private static List<String> workspaces(List<PlanColumn> columns) {
        return columns.stream()
                .flatMap(column -> column.measures().spend().stream())
                .map(WorkspaceSpend::workspace)
                .distinct()
                .sorted()
                .toList();
    }

    private static Stream<Promise> brokenPromises(List<PlanColumn> columns) {
        return Arrays.stream(Promise.values()).filter(promise -> columns.stream()
                .anyMatch(column -> column.measures().promisesBroken().getOrDefault(promise, 0) > 0));
    }

    private static String formatNumber(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < Integer.MAX_VALUE;
        return whole ? Integer.toString((int) value) : String.format(Locale.ROOT, "%.2f", value);
    }

    private static String formatChange(double before, double after) {
        if (before == after) {
            return "=";
        }
        String sign = after > before ? "+" : "-";
        String difference = sign + formatNumber(Math.abs(after - before));
        if (before == 0) {
            return difference;
        }
        double percent = (after - before) / Math.abs(before) * PERCENT;
        return difference + String.format(Locale.ROOT, " (%+.1f%%)", percent);
    }
}
