package org.fuchsiawinch.report.render;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.report.burn.BudgetPoint;
import org.fuchsiawinch.report.burn.BurnReport;
import org.fuchsiawinch.report.burn.ServiceLevelBurn;
import org.fuchsiawinch.report.burn.SpendBurn;
import org.fuchsiawinch.report.burn.WindowBurn;
import org.fuchsiawinch.report.burn.WorkspaceSummary;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.SystemSample;

/** Renders one JSON object; docs/REPORT.md lists its fields. Stateless. */
public final class JsonRenderer implements ReportRenderer {

    /** Creates the renderer. */
    public JsonRenderer() {}

    @Override
    public String render(BurnReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("atMs", report.nowMs()).put("currency", report.currency()).put("firing", report.firing());
        root.put("meanFragmentation", report.meanFragmentation());
        ArrayNode serviceLevels = root.putArray("objectives");
        report.serviceLevels().forEach(burn -> putServiceLevel(serviceLevels.addObject(), burn));
        ArrayNode spends = root.putArray("spends");
        report.spends().forEach(spend -> putSpend(spends.addObject(), spend));
        ArrayNode workspaces = root.putArray("workspaces");
        report.workspaces().forEach(summary -> putWorkspace(workspaces.addObject(), summary));
        ArrayNode samples = root.putArray("samples");
        report.samples().forEach(sample -> putSample(samples.addObject(), sample));
        return root.toPrettyString() + "\n";
    }

    private static void putServiceLevel(ObjectNode node, ServiceLevelBurn burn) {
        node.put("workspace", burn.level().workspace().value())
                .put("objective", burn.level().kind().key())
                .put("targetShare", burn.level().targetShare());
        burn.level().thresholdMs().ifPresent(thresholdMs -> node.put("thresholdMs", thresholdMs));
        node.put("windowMs", burn.level().windowMs())
                .put("good", burn.good())
                .put("bad", burn.bad())
                .put("goodShare", burn.goodShare())
                .put("budgetLeft", burn.budgetLeft())
                .put("firing", burn.firing());
        ArrayNode windows = node.putArray("windows");
        burn.windows().forEach(window -> putWindow(windows.addObject(), window));
        ArrayNode history = node.putArray("history");
        for (BudgetPoint point : burn.history()) {
            history.addObject().put("atMs", point.atMs()).put("used", point.used());
        }
    }

    private static void putWindow(ObjectNode node, WindowBurn window) {
        node.put("alert", window.alert().name())
                .put("longWindowMs", window.longWindowMs())
                .put("shortWindowMs", window.shortWindowMs())
                .put("longBurn", window.longBurn())
                .put("shortBurn", window.shortBurn())
                .put("threshold", window.alert().threshold())
                .put("firing", window.firing());
    }

    private static void putSpend(ObjectNode node, SpendBurn spend) {
        node.put("workspace", spend.workspace().value())
                .put("periodMs", spend.periodMs())
                .put("spentMicros", spend.spentMicros())
                .put("recentRate", spend.recentRate())
                .put("sampled", spend.sampled());
        spend.limitMicros().ifPresent(limit -> node.put("limitMicros", limit).put("ofLimit", spend.shareOfLimit()));
    }

    private static void putWorkspace(ObjectNode node, WorkspaceSummary summary) {
        node.put("workspace", summary.workspace().value());
        ObjectNode outcomes = node.putObject("outcomes");
        for (JobOutcome outcome : JobOutcome.values()) {
            outcomes.put(outcome.key(), summary.count(outcome));
        }
        node.put("completionMedianMs", summary.completionMedianMs()).put("completionP95Ms", summary.completionP95Ms());
    }

    private static void putSample(ObjectNode node, SystemSample sample) {
        node.put("atMs", sample.atMs())
                .put("fragmentation", sample.fragmentation())
                .put("queueLength", sample.queueLength())
                .put("spendMicros", sample.spendMicros());
    }
}
