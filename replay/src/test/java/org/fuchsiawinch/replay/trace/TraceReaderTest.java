package org.fuchsiawinch.replay.trace;

import java.util.List;

import org.fuchsiawinch.replay.generate.TraceGenerator;
import org.fuchsiawinch.replay.generate.TraceKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that written traces are read back unchanged and that each kind of fault is reported with its location. */
public class TraceReaderTest {

    private static final String HEADER = "{\"type\":\"trace\",\"format\":1,\"name\":\"t\",\"horizonMs\":1000}\n";
    private static final String WORKER = "{\"type\":\"worker\",\"atMs\":0,\"worker\":\"w1\",\"dataCentre\":\"suva-1\","
            + "\"rack\":\"r1\",\"cpuMillis\":1000,\"memoryMb\":1024,\"accelerators\":1,\"speed\":1.0}\n";

    private final TraceReader reader = new TraceReader();

    @DataProvider
    public Object[][] kinds() {
        return TraceKind.all().stream().map(kind -> new Object[] {kind}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "kinds")
    public void writtenTraceIsReadBackUnchanged(TraceKind kind) {
        Trace trace = new TraceGenerator().generate(kind, 3);
        TraceReadResult result = reader.read("t", new TraceWriter().write(trace));
        assertEquals(((TraceReadResult.Accepted) result).trace(), trace);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"", 1, "", TraceFault.HEADER_MISSING},
            {"{\"type\":\"worker\"}", 1, "type", TraceFault.HEADER_MISSING},
            {HEADER.replace(":1,", ":2,"), 1, "format", TraceFault.FORMAT_UNKNOWN},
            {HEADER + "{", 2, "", TraceFault.NOT_JSON},
            {HEADER + "[]", 2, "", TraceFault.NOT_JSON},
            {HEADER + HEADER, 2, "type", TraceFault.HEADER_REPEATED},
            {HEADER + "{\"type\":\"party\",\"atMs\":0}", 2, "type", TraceFault.TYPE_UNKNOWN},
            {HEADER + WORKER.replace("\"rack\":\"r1\",", ""), 2, "rack", TraceFault.FIELD_MISSING},
            {HEADER + WORKER.replace("rack", "shelf"), 2, "shelf", TraceFault.FIELD_UNKNOWN},
            {HEADER + WORKER.replace("1024", "\"much\""), 2, "memoryMb", TraceFault.FIELD_TYPE},
            {HEADER + WORKER.replace("1024", "-1"), 2, "memoryMb", TraceFault.FIELD_RANGE},
            {HEADER + WORKER.replace("w1", "w 1"), 2, "worker", TraceFault.FIELD_ID},
            {HEADER + WORKER + WORKER, 3, "worker", TraceFault.WORKER_REPEATED},
            {HEADER + "{\"type\":\"worker-lost\",\"atMs\":0,\"worker\":\"w9\"}", 2, "worker", TraceFault.WORKER_UNKNOWN
            },
            {HEADER + "{\"type\":\"cancel\",\"atMs\":0,\"job\":\"j9\"}", 2, "job", TraceFault.JOB_UNKNOWN},
            {
                HEADER + WORKER.replace("\"atMs\":0", "\"atMs\":5") + "{\"type\":\"usage-lag\",\"atMs\":4,\"lagMs\":1}",
                3,
                "atMs",
                TraceFault.TIME_FALLS
            },
        };
    }

    @Test(dataProvider = "faults")
    public void faultIsReportedWithItsLocation(String text, int line, String field, TraceFault fault) {
        TraceReadResult result = reader.read("trace.jsonl", text);
        List<TraceProblem> problems = ((TraceReadResult.Rejected) result).problems();
        assertTrue(problems.contains(new TraceProblem("trace.jsonl", line, field, fault)), problems.toString());
    }
}
