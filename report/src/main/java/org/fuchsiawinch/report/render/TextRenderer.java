package org.fuchsiawinch.report.render;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.report.burn.BurnReport;
import org.fuchsiawinch.report.burn.ServiceLevelBurn;
import org.fuchsiawinch.report.burn.SpendBurn;
import org.fuchsiawinch.report.burn.WindowBurn;
import org.fuchsiawinch.report.burn.WorkspaceSummary;
import org.fuchsiawinch.report.records.JobOutcome;

/** Renders tables for a terminal. Stateless. */
public final class TextRenderer implements ReportRenderer {

    private static final String COLUMN_GAP = "  ";

    /** Creates the renderer. */
    public TextRenderer() {}

    @Override
    public String render(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append("Report of ").append(ValueFormat.time(report.nowMs())).append("\n\nService levels\n");
        appendTable(text, serviceLevelRows(report));
        text.append("\nSpend in ").append(report.currency()).append('\n');
        appendTable(text, spendRows(report));
        text.append("\nJobs\n");
        appendTable(text, workspaceRows(report));
        text.append("\nFragmentation, averaged over time: ")
                .append(report.samples().isEmpty() ? "no samples" : ValueFormat.percent(report.meanFragmentation()))
                .append('\n');
        return text.toString();
    }

    private static List<List<String>> serviceLevelRows(BurnReport report) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("workspace", "objective", "target", "good", "bad", "reached", "budget left", "burn", "state"));
        for (ServiceLevelBurn burn : report.serviceLevels()) {
            rows.add(List.of(
                    burn.level().workspace().value(),
                    burn.level().kind().key(),
                    ValueFormat.target(burn.level()),
                    Long.toString(burn.good()),
                    Long.toString(burn.bad()),
                    burn.eventCount() == 0 ? "-" : ValueFormat.percentTwoDecimals(burn.goodShare()),
                    ValueFormat.percent(burn.budgetLeft()),
                    burnRates(burn),
                    ValueFormat.state(burn)));
        }
        return rows;
    }

    private static String burnRates(ServiceLevelBurn burn) {
        List<String> parts = new ArrayList<>();
        for (WindowBurn window : burn.windows()) {
            parts.add(ValueFormat.duration(window.longWindowMs()) + " " + ValueFormat.rate(window.longBurn()) + "/"
                    + ValueFormat.rate(window.shortBurn()));
        }
        return String.join(", ", parts);
    }

    private static List<List<String>> spendRows(BurnReport report) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("workspace", "period", "spent", "limit", "of limit", "rate", "counted"));
        for (SpendBurn spend : report.spends()) {
            rows.add(List.of(
                    spend.workspace().value(),
                    ValueFormat.duration(spend.periodMs()),
                    ValueFormat.money(spend.spentMicros()),
                    ValueFormat.limit(spend),
                    spend.limitMicros().isPresent() ? ValueFormat.percent(spend.shareOfLimit()) : "-",
                    spend.limitMicros().isPresent() ? ValueFormat.rate(spend.recentRate()) : "-",
                    spend.sampled() ? "all jobs" : "ended jobs"));
        }
        return rows;
    }

    private static List<List<String>> workspaceRows(BurnReport report) {
        List<List<String>> rows = new ArrayList<>();
        List<String> header = new ArrayList<>(List.of("workspace"));
        for (JobOutcome outcome : JobOutcome.values()) {
            header.add(outcome.key());
        }
        header.addAll(List.of("median", "p95"));
        rows.add(header);
        for (WorkspaceSummary workspace : report.workspaces()) {
            List<String> row = new ArrayList<>(List.of(workspace.workspace().value()));
            for (JobOutcome outcome : JobOutcome.values()) {
                row.add(Integer.toString(workspace.count(outcome)));
            }
            row.add(ValueFormat.duration(workspace.completionMedianMs()));
            row.add(ValueFormat.duration(workspace.completionP95Ms()));
            rows.add(row);
        }
        return rows;
    }

    private static void appendTable(StringBuilder text, List<List<String>> rows) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(ValueFormat.format("%-" + widths[i] + "s", row.get(i)))
                        .append(COLUMN_GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
    }
}
