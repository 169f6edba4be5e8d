package org.fuchsiawinch.report.render;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.burn.BudgetPoint;
import org.fuchsiawinch.report.burn.BurnAlert;
import org.fuchsiawinch.report.burn.BurnReport;
import org.fuchsiawinch.report.burn.ServiceLevelBurn;
import org.fuchsiawinch.report.burn.SpendBurn;
import org.fuchsiawinch.report.burn.WorkspaceSummary;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.SystemSample;

/** Renders one self-contained HTML page with embedded plots and without scripts. Stateless. */
public final class HtmlRenderer implements ReportRenderer {

    private static final int MAX_BUDGET_PLOTS = 8;
    private static final double MAX_FRAGMENTATION_PERCENT = 100;
    private static final double MAX_BUDGET_PERCENT = 200;
    private static final double LOW_BUDGET_SHARE = 0.25;
    private static final double HIGH_SPEND_SHARE = 0.8;
    private static final String STYLE = """
            body { font: 15px/1.45 system-ui, sans-serif; color: #1d2330; margin: 0 auto; max-width: 1300px;
              padding: 24px; background: #f6f7f9; }
            h1 { font-size: 24px; margin: 0; }
            h2 { font-size: 18px; margin: 32px 0 8px; }
            p { margin: 4px 0; color: #4a5262; }
            table { border-collapse: collapse; width: 100%; background: #fff; border: 1px solid #dfe2e8; }
            th, td { padding: 6px 10px; border-bottom: 1px solid #e9ebef; text-align: left; white-space: nowrap; }
            th { font-weight: 600; background: #eef0f4; }
            td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
            .scroll { overflow-x: auto; }
            .bar { display: inline-block; width: 90px; height: 9px; background: #e3e5ea; margin-right: 8px; }
            .bar span { display: block; height: 9px; background: #2e7d4f; }
            .warn .bar span { background: #c77700; }
            .bad .bar span { background: #b3261e; }
            .state { font-weight: 600; color: #2e7d4f; }
            .warn .state { color: #9a5b00; }
            .bad .state { color: #b3261e; }
            .plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(420px, 1fr)); gap: 16px; }
            .plots img { width: 100%; background: #fff; border: 1px solid #dfe2e8; box-sizing: border-box; }
            """;

    /** Creates the renderer. */
    public HtmlRenderer() {}

    @Override
    public String render(BurnReport report) {
        StringBuilder page = new StringBuilder(
                        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n")
                .append("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n")
                .append("<title>Service-level burn</title>\n<style>\n")
                .append(STYLE)
                .append("</style>\n</head>\n<body>\n<h1>Service-level burn</h1>\n");
        page.append("<p>").append(ValueFormat.time(report.nowMs())).append(". ").append(headline(report));
        page.append("</p>\n");
        appendServiceLevels(page, report);
        appendSpends(page, report);
        appendSystemPlots(page, report);
        appendBudgetPlots(page, report);
        appendWorkspaces(page, report);
        return page.append("</body>\n</html>\n").toString();
    }

    private static String headline(BurnReport report) {
        long firing =
                report.serviceLevels().stream().filter(ServiceLevelBurn::firing).count();
        long overspent = report.serviceLevels().stream()
                .filter(burn -> burn.budgetLeft() < 0)
                .count();
        return firing + " of " + report.serviceLevels().size() + " service levels burn too fast, " + overspent
                + " have no error budget left.";
    }

    private static void appendServiceLevels(StringBuilder page, BurnReport report) {
        page.append("<h2>Service levels</h2>\n<p>Burn is the rate at which the error budget is spent; 1 spends it just")
                .append(" at the end of the objective's window. Fast, slow and creeping burn are taken over 1/720,")
                .append(" 1/120 and 1/10 of that window and over a twelfth of each; an alert fires at 14.4, 6 and 1")
                .append(" in both.</p>\n");
        openTable(page, "Workspace", "Objective", "Target", "#Good", "#Bad", "#Reached", "Budget left");
        for (BurnAlert alert : BurnAlert.values()) {
            appendHeading(page, "#" + ValueFormat.alertLabel(alert) + " burn");
        }
        appendHeading(page, "State");
        page.append("</tr>\n");
        for (ServiceLevelBurn burn : report.serviceLevels()) {
            page.append("<tr class=\"").append(severity(burn)).append("\">");
            appendCell(page, burn.level().workspace().value());
            appendCell(page, burn.level().kind().key());
            appendCell(page, ValueFormat.target(burn.level()));
            appendNumber(page, Long.toString(burn.good()));
            appendNumber(page, Long.toString(burn.bad()));
            appendNumber(page, burn.eventCount() == 0 ? "-" : ValueFormat.percentTwoDecimals(burn.goodShare()));
            appendBar(page, burn.budgetLeft(), ValueFormat.percent(burn.budgetLeft()));
            burn.windows()
                    .forEach(window -> appendNumber(
                            page, ValueFormat.rate(window.longBurn()) + " / " + ValueFormat.rate(window.shortBurn())));
            page.append("<td class=\"state\">").append(ValueFormat.state(burn)).append("</td></tr>\n");
        }
        closeTable(page);
    }

    private static String severity(ServiceLevelBurn burn) {
        if (burn.firing() || burn.budgetLeft() < 0) {
            return "bad";
        }
        return burn.budgetLeft() < LOW_BUDGET_SHARE ? "warn" : "good";
    }

    private static void appendSpends(StringBuilder page, BurnReport report) {
        page.append("<h2>Spend against limit</h2>\n<p>Amounts in ").append(escape(report.currency()));
        page.append(". Rate is the spend of the period's last tenth, tenfold, over the limit.</p>\n");
        openTable(page, "Workspace", "Period", "#Spent", "#Limit", "Of limit", "#Rate", "Counted");
        page.append("</tr>\n");
        for (SpendBurn spend : report.spends()) {
            boolean limited = spend.limitMicros().isPresent();
            page.append("<tr class=\"").append(severity(spend)).append("\">");
            appendCell(page, spend.workspace().value());
            appendCell(page, ValueFormat.duration(spend.periodMs()));
            appendNumber(page, ValueFormat.money(spend.spentMicros()));
            appendNumber(page, ValueFormat.limit(spend));
            appendBar(page, spend.shareOfLimit(), limited ? ValueFormat.percent(spend.shareOfLimit()) : "-");
            appendNumber(page, limited ? ValueFormat.rate(spend.recentRate()) : "-");
            appendCell(page, spend.sampled() ? "all jobs" : "ended jobs");
            page.append("</tr>\n");
        }
        closeTable(page);
    }

    private static String severity(SpendBurn spend) {
        if (spend.shareOfLimit() >= 1) {
            return "bad";
        }
        return spend.shareOfLimit() >= HIGH_SPEND_SHARE ? "warn" : "good";
    }

    private static void appendSystemPlots(StringBuilder page, BurnReport report) {
        page.append("<h2>Fragmentation and queue</h2>\n");
        if (report.samples().isEmpty()) {
            page.append("<p>No samples.</p>\n");
            return;
        }
        page.append("<p>Fragmentation averaged over time: ")
                .append(ValueFormat.percent(report.meanFragmentation()))
                .append("</p>\n<div class=\"plots\">\n");
        Plot fragmentation =
                new Plot("Fragmentation", "Free accelerators unusable, %", "0").withMaxValue(MAX_FRAGMENTATION_PERCENT);
        fragmentation.addLine(
                "fragmentation", report.samples(), SystemSample::atMs, sample -> 100 * sample.fragmentation());
        appendImage(page, fragmentation, "Fragmentation over time");
        Plot queue = new Plot("Queue", "Waiting jobs", "0");
        queue.addLine("waiting jobs", report.samples(), SystemSample::atMs, SystemSample::queueLength);
        appendImage(page, queue, "Waiting jobs over time");
        page.append("</div>\n");
    }

    private static void appendBudgetPlots(StringBuilder page, BurnReport report) {
        Map<WorkspaceId, List<ServiceLevelBurn>> byWorkspace = new LinkedHashMap<>();
        for (ServiceLevelBurn burn : report.serviceLevels()) {
            if (!burn.history().isEmpty()) {
                byWorkspace
                        .computeIfAbsent(burn.level().workspace(), id -> new ArrayList<>())
                        .add(burn);
            }
        }
        page.append("<h2>Error budget used</h2>\n<p>At 100% the budget of the objective's window is spent. The ")
                .append(Math.min(MAX_BUDGET_PLOTS, byWorkspace.size()))
                .append(" of ")
                .append(byWorkspace.size())
                .append(" workspaces with the least left; values above 200% are drawn at 200%.</p>\n")
                .append("<div class=\"plots\">\n");
        byWorkspace.entrySet().stream()
                .limit(MAX_BUDGET_PLOTS)
                .forEach(entry -> appendBudgetPlot(page, entry.getKey(), entry.getValue()));
        page.append("</div>\n");
    }

    private static void appendBudgetPlot(StringBuilder page, WorkspaceId workspace, List<ServiceLevelBurn> burns) {
        Plot plot = new Plot(workspace.value(), "Budget used, %", "0").withMaxValue(MAX_BUDGET_PERCENT);
        List<ServiceLevelBurn> byKind = burns.stream()
                .sorted(Comparator.comparing(burn -> burn.level().kind()))
                .toList();
        for (ServiceLevelBurn burn : byKind) {
            plot.addLine(burn.level().kind().key(), burn.history(), BudgetPoint::atMs, point -> 100 * point.used());
        }
        appendImage(page, plot, "Error budget used by " + workspace.value());
    }

    private static void appendWorkspaces(StringBuilder page, BurnReport report) {
        page.append("<h2>Jobs</h2>\n");
        openTable(page, "Workspace");
        for (JobOutcome outcome : JobOutcome.values()) {
            appendHeading(page, "#" + outcome.key());
        }
        appendHeading(page, "#Completion median");
        appendHeading(page, "#Completion p95");
        page.append("</tr>\n");
        for (WorkspaceSummary summary : report.workspaces()) {
            page.append("<tr>");
            appendCell(page, summary.workspace().value());
            for (JobOutcome outcome : JobOutcome.values()) {
                appendNumber(page, Integer.toString(summary.count(outcome)));
            }
            appendNumber(page, ValueFormat.duration(summary.completionMedianMs()));
            appendNumber(page, ValueFormat.duration(summary.completionP95Ms()));
            page.append("</tr>\n");
        }
        closeTable(page);
    }

    private static void appendImage(StringBuilder page, Plot plot, String description) {
        if (!plot.isEmpty()) {
            page.append("<img alt=\"").append(escape(description)).append("\" src=\"");
            page.append(plot.dataUri()).append("\">\n");
        }
    }

    private static void openTable(StringBuilder page, String... headings) {
        page.append("<div class=\"scroll\"><table>\n<tr>");
        for (String text : headings) {
            appendHeading(page, text);
        }
    }

    private static void closeTable(StringBuilder page) {
        page.append("</table></div>\n");
    }

    /** Appends a column heading; a leading {@code #} aligns it right and is not shown. */
    private static void appendHeading(StringBuilder page, String text) {
        boolean numeric = text.startsWith("#");
        page.append(numeric ? "<th class=\"n\">" : "<th>");
        page.append(escape(numeric ? text.substring(1) : text)).append("</th>");
    }

    private static void appendCell(StringBuilder page, String text) {
        page.append("<td>").append(escape(text)).append("</td>");
    }

    private static void appendNumber(StringBuilder page, String text) {
        page.append("<td class=\"n\">").append(escape(text)).append("</td>");
    }

    private static void appendBar(StringBuilder page, double share, String text) {
        double width = 100 * Math.max(0, Math.min(1, share));
        page.append("<td><span class=\"bar\"><span style=\"width:")
                .append(ValueFormat.format("%.1f", width))
                .append("%\"></span></span>")
                .append(escape(text))
                .append("</td>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}
