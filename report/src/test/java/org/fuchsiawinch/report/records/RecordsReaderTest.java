package org.fuchsiawinch.report.records;

import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.util.List;

import org.fuchsiawinch.report.records.RecordProblem.Code;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests that invalid records are rejected with file, line and field of each problem; a mistyped field that was ignored
 * could hide bad events.
 */
public class RecordsReaderTest {

    private static final String JOB = "{\"type\":\"job\",\"job\":\"j1\",\"workspace\":\"plans\",\"kind\":\"plan\","
            + "\"guaranteed\":true,\"submittedMs\":10,\"startedMs\":20,\"endedMs\":30,\"outcome\":\"completed\","
            + "\"wholeAnswer\":true,\"spendMicros\":5}";
    private static final String SAMPLE =
            "{\"type\":\"sample\",\"atMs\":40,\"fragmentation\":0.5,\"queueLength\":3,\"spendMicros\":5}";

    @Test
    public void readsAllTypesAndSkipsBlankAndRepeatedLines() {
        String spend = "{\"type\":\"spend\",\"atMs\":50,\"workspace\":\"plans\",\"periodSpendMicros\":7}";
        Records records = accepted(String.join("\n", JOB, "", SAMPLE, spend, JOB));
        assertEquals(records.jobs().size(), 1);
        assertEquals(records.jobs().get(0).startedMs().getAsLong(), 20);
        assertEquals(records.samples(), List.of(new SystemSample(40, 0.5, 3, 5)));
        assertEquals(records.spends().get(0).periodSpendMicros(), 7);
        assertEquals(records.latestMs().getAsLong(), 50);
    }

    @DataProvider
    Object[][] badLines() {
        return new Object[][] {
            {"{\"type\":\"job\"", "", Code.MALFORMED},
            {"[1]", "", Code.MALFORMED},
            {SAMPLE + SAMPLE, "", Code.MALFORMED},
            {SAMPLE.replace("\"atMs\":40", "\"atMs\":40,\"atMs\":41"), "", Code.MALFORMED},
            {SAMPLE.replace("sample", "samples"), "type", Code.UNKNOWN_TYPE},
            {SAMPLE.replace("\"type\":\"sample\",", ""), "type", Code.MISSING},
            {SAMPLE.replace("0.5", "1.5"), "fragmentation", Code.INVALID},
            {SAMPLE.replace("0.5", "null"), "fragmentation", Code.INVALID},
            {SAMPLE.replace("\"queueLength\":3", "\"queueLength\":-3"), "queueLength", Code.INVALID},
            {SAMPLE.replace("\"queueLength\":3", "\"queueLength\":3.5"), "queueLength", Code.INVALID},
            {SAMPLE.replace("queueLength", "queue"), "queueLength", Code.MISSING},
            {JOB.replace("\"kind\"", "\"sort\":1,\"kind\""), "sort", Code.UNKNOWN_FIELD},
            {JOB.replace("\"workspace\":\"plans\"", "\"workspace\":\"a b\""), "workspace", Code.INVALID},
            {JOB.replace("completed", "done"), "outcome", Code.INVALID},
            {JOB.replace("\"guaranteed\":true", "\"guaranteed\":1"), "guaranteed", Code.INVALID},
            {JOB.replace("\"startedMs\":20", "\"startedMs\":9"), "startedMs", Code.INVALID},
            {JOB.replace("\"startedMs\":20,", ""), "startedMs", Code.MISSING},
            {JOB.replace("\"endedMs\":30", "\"endedMs\":19"), "endedMs", Code.INVALID},
            {JOB.replace("\"endedMs\":30", "\"endedMs\":9e99"), "endedMs", Code.INVALID},
            {JOB.replace("\"guaranteed\":true", "\"guaranteed\":false"), "job", Code.CONFLICT},
        };
    }

    @Test(dataProvider = "badLines")
    public void reportsLineAndField(String bad, String field, Code code) {
        List<RecordProblem> problems = rejected(JOB + "\n" + bad + "\n");
        assertEquals(problems.get(0).line(), 2);
        assertEquals(problems.get(0).file(), "f.jsonl");
        assertEquals(problems.get(0).field(), field, problems.toString());
        assertEquals(problems.get(0).code(), code);
    }

    @Test
    public void stopsAfterTwentyProblems() {
        assertEquals(rejected("x\n".repeat(100)).size(), 20);
    }

    @Test
    public void reportsTheLineAtWhichReadingFails() {
        Reader broken = new Reader() {
            private boolean lineReturned;

            @Override
            public int read(char[] buffer, int offset, int length) throws IOException {
                if (lineReturned) {
                    throw new IOException("gone");
                }
                lineReturned = true;
                "\n".getChars(0, 1, buffer, offset);
                return 1;
            }

            @Override
            public void close() {
                lineReturned = true;
            }
        };
        RecordsResult result = new RecordsReader().read("f.jsonl", broken);
        RecordProblem problem = ((RecordsResult.Rejected) result).problems().get(0);
        assertEquals(problem.code(), Code.UNREADABLE);
        assertEquals(problem.line(), 2);
    }

    private static Records accepted(String text) {
        return ((RecordsResult.Accepted) new RecordsReader().read("f.jsonl", new StringReader(text))).records();
    }

    private static List<RecordProblem> rejected(String text) {
        return ((RecordsResult.Rejected) new RecordsReader().read("f.jsonl", new StringReader(text))).problems();
    }
}
