package org.fuchsiawinch.server;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.workflow.owner.DecisionLog;

/** Passes lines on to a log and counts decisions in a metric registry. As thread-safe as that log. */
final class CountingLog implements DecisionLog {

    private final DecisionLog log;
    private final MetricRegistry metrics;

    CountingLog(DecisionLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void line(String event, Object... pairs) {
        log.line(event, pairs);
    }

    @Override
    public void count(String counter) {
        metrics.counter(counter).inc();
    }
}
