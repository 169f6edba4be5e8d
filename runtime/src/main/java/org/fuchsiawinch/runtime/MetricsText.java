package org.fuchsiawinch.runtime;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/** Renders metrics as text, one {@code name value} pair per line; times are in milliseconds. */
public final class MetricsText {

    private static final double NANOS_PER_MS = 1e6;

    private MetricsText() {}

    /**
     * Renders all metrics of a registry, grouped by type and sorted by name within each type.
     *
     * @param registry the registry
     * @return the rendered text, ending with a newline; empty if there are no metrics
     */
    public static String render(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
        registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> line(text, name, meter.getCount()));
        registry.getTimers().forEach((name, timer) -> {
            Snapshot snapshot = timer.getSnapshot();
            line(text, name + ".count", timer.getCount());
            line(text, name + ".p50_ms", snapshot.getMedian() / NANOS_PER_MS);
            line(text, name + ".p99_ms", snapshot.get99thPercentile() / NANOS_PER_MS);
        });
        return text.toString();
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
