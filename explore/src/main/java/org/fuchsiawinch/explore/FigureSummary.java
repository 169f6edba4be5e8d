package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Aggregates the figures of many schedules. Not thread-safe. */
final class FigureSummary {

    private final List<Long> takeoverMs = new ArrayList<>();
    private final List<Long> calmTakeoverMs = new ArrayList<>();
    private final List<Long> documentMs = new ArrayList<>();
    private long records;
    private long jobs;

    void add(ScheduleFigures figures) {
        takeoverMs.addAll(figures.takeoverMs());
        calmTakeoverMs.addAll(figures.calmTakeoverMs());
        documentMs.addAll(figures.documentMs());
        records += figures.records();
        jobs += figures.jobs();
    }

    String text() {
        return "event=figures take_overs=" + takeoverMs.size() + quantiles(" take_over", takeoverMs)
                + " calm_take_overs=" + calmTakeoverMs.size() + quantiles(" calm_take_over", calmTakeoverMs)
                + quantiles(" document_spread", documentMs) + " jobs=" + jobs + " records=" + records;
    }

    private static String quantiles(String name, List<Long> values) {
        if (values.isEmpty()) {
            return "";
        }
        Collections.sort(values);
        return name + "_p50_ms=" + values.get(values.size() / 2) + name + "_p99_ms="
                + values.get((int) (values.size() * 0.99)) + name + "_max_ms=" + values.get(values.size() - 1);
    }
}
