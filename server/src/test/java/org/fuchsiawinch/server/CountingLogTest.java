package org.fuchsiawinch.server;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that counts of decisions go to the registry and their lines to the log. */
public class CountingLogTest {

    @Test
    public void countsAndPassesLinesOn() {
        List<String> lines = new ArrayList<>();
        MetricRegistry metrics = new MetricRegistry();
        CountingLog log = new CountingLog((event, pairs) -> lines.add(event + List.of(pairs)), metrics);
        log.count("runs.duplicate");
        log.count("runs.duplicate");
        log.line("duplicate-run", "request", "job");
        assertEquals(metrics.counter("runs.duplicate").getCount(), 2);
        assertEquals(lines, List.of("duplicate-run[request, job]"));
    }
}
