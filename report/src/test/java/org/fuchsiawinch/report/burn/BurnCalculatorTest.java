package org.fuchsiawinch.report.burn;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.document.ServiceLevelKind;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.JobRecord;
import org.fuchsiawinch.report.records.Records;
import org.fuchsiawinch.report.records.SpendSample;
import org.fuchsiawinch.report.records.SystemSample;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests the burn of service levels in the Lagilagi sample document. The service levels of workspace plans are
 * guaranteed start 99% within 60 s and completion 95% within 6 h, both over 30 days.
 */
public class BurnCalculatorTest {

    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 60 * MINUTE_MS;
    private static final long DAY_MS = 24 * HOUR_MS;
    private static final long NOW_MS = 100 * DAY_MS;
    private static final WorkspaceId PLANS = new WorkspaceId("plans");

    private final List<JobRecord> jobs = new ArrayList<>();
    private Document document;

    @BeforeMethod
    void readDocument() throws IOException {
        jobs.clear();
        String text = Files.readString(Path.of("..", "samples", "lagilagi", "document.yaml"));
        document = ((DocumentResult.Accepted) new DocumentReader().read("document.yaml", text)).document();
    }

    @Test
    public void budgetIsFullWithoutEvents() {
        ServiceLevelBurn burn = burn(ServiceLevelKind.COMPLETION);
        assertEquals(burn.eventCount(), 0);
        assertEquals(burn.budgetLeft(), 1.0);
        assertFalse(burn.firing());
    }

    @Test
    public void lateStartsUseTheBudget() {
        for (int i = 0; i < 199; i++) {
            started(10 * DAY_MS, 60_000);
        }
        started(10 * DAY_MS, 60_001);
        ServiceLevelBurn burn = burn(ServiceLevelKind.GUARANTEED_START);
        assertEquals(burn.good(), 199);
        assertEquals(burn.bad(), 1);
        assertEquals(burn.budgetLeft(), 0.5, 1e-9);
        assertEquals(burn.history().get(burn.history().size() - 1).used(), 0.5, 1e-9);
    }

    @Test
    public void eventsOutsideTheWindowAreIgnored() {
        started(31 * DAY_MS, 90_000);
        jobs.add(job(NOW_MS, NOW_MS + 1, NOW_MS + 1, JobOutcome.COMPLETED));
        assertEquals(burn(ServiceLevelKind.GUARANTEED_START).eventCount(), 0);
    }

    @Test
    public void alertFiresOnlyIfBothWindowsReachTheThreshold() {
        for (int i = 0; i < 10; i++) {
            started(30 * MINUTE_MS + i, 90_000);
        }
        WindowBurn window = window(BurnAlert.FAST);
        assertEquals(window.longWindowMs(), HOUR_MS);
        assertEquals(window.shortWindowMs(), 5 * MINUTE_MS);
        assertEquals(window.longBurn(), 100.0, 1e-6);
        assertEquals(window.shortBurn(), 0.0);
        assertFalse(window.firing());
        started(3 * MINUTE_MS, 90_000);
        assertTrue(window(BurnAlert.FAST).firing());
    }

    @Test
    public void thresholdsMatchTheStandardOnesForThirtyDays() {
        assertEquals(BurnAlert.FAST.threshold(), 14.4, 1e-9);
        assertEquals(BurnAlert.SLOW.threshold(), 6.0, 1e-9);
        assertEquals(BurnAlert.CREEPING.threshold(), 1.0, 1e-9);
        assertEquals(BurnAlert.CREEPING.longWindowMs(30 * DAY_MS), 3 * DAY_MS);
    }

    @Test
    public void refusedAndCancelledJobsAreIgnored() {
        long submitMs = NOW_MS - DAY_MS;
        jobs.add(neverStarted(submitMs, 30_000, JobOutcome.CANCELLED));
        jobs.add(neverStarted(submitMs, 0, JobOutcome.REFUSED));
        assertEquals(burn(ServiceLevelKind.GUARANTEED_START).eventCount(), 0);
        assertEquals(burn(ServiceLevelKind.COMPLETION).eventCount(), 0);
        assertEquals(burn(ServiceLevelKind.WHOLE_ANSWERS).eventCount(), 0);
    }

    @Test
    public void jobsCancelledAfterTheThresholdOrNotRunAreBad() {
        long submitMs = NOW_MS - DAY_MS;
        jobs.add(neverStarted(submitMs, 61_000, JobOutcome.CANCELLED));
        jobs.add(neverStarted(submitMs, 1_000, JobOutcome.NOT_RUN));
        assertEquals(burn(ServiceLevelKind.GUARANTEED_START).bad(), 2);
        assertEquals(burn(ServiceLevelKind.COMPLETION).bad(), 1);
    }

    /**
     * A sample includes running jobs, so it replaces the sum over ended jobs; one that is older than the period is
     * ignored.
     */
    @Test
    public void spendSamplesOverrideEndedJobs() {
        jobs.add(job(NOW_MS - 4, NOW_MS - 3, NOW_MS - 2, JobOutcome.COMPLETED));
        SpendBurn fromEndedJobs = spend(List.of(new SpendSample(NOW_MS - 2 * DAY_MS, PLANS, 77)));
        assertEquals(fromEndedJobs.spentMicros(), 1_000_000);
        assertFalse(fromEndedJobs.sampled());
        SpendBurn fromSample = spend(List.of(new SpendSample(NOW_MS - 1, PLANS, 4_500_000_000L)));
        assertTrue(fromSample.sampled());
        assertEquals(fromSample.shareOfLimit(), 0.5, 1e-9);
    }

    @Test
    public void fragmentationIsWeightedByTime() {
        List<SystemSample> samples = List.of(
                new SystemSample(300, 0.9, 0, 0), new SystemSample(0, 0.2, 0, 0), new SystemSample(100, 0.5, 0, 0));
        BurnReport report = BurnCalculator.compute(new Records(List.of(), samples, List.of()), document, NOW_MS);
        assertEquals(report.meanFragmentation(), (0.2 * 100 + 0.5 * 200) / 300, 1e-9);
    }

    private void started(long beforeNowMs, long waitMs) {
        long startedMs = NOW_MS - beforeNowMs;
        jobs.add(job(startedMs - waitMs, startedMs, startedMs + 1, JobOutcome.COMPLETED));
    }

    private JobRecord job(long submittedMs, long startedMs, long endedMs, JobOutcome outcome) {
        return record(submittedMs, OptionalLong.of(startedMs), endedMs, outcome);
    }

    private JobRecord neverStarted(long submittedMs, long waitMs, JobOutcome outcome) {
        return record(submittedMs, OptionalLong.empty(), submittedMs + waitMs, outcome);
    }

    private JobRecord record(long submittedMs, OptionalLong startedMs, long endedMs, JobOutcome outcome) {
        return new JobRecord(
                "j" + jobs.size(), PLANS, "plan", true, submittedMs, startedMs, endedMs, outcome, true, 1_000_000);
    }

    private ServiceLevelBurn burn(ServiceLevelKind kind) {
        return report(List.of()).serviceLevels().stream()
                .filter(burn ->
                        burn.level().workspace().equals(PLANS) && burn.level().kind() == kind)
                .findFirst()
                .orElseThrow();
    }

    private WindowBurn window(BurnAlert alert) {
        return burn(ServiceLevelKind.GUARANTEED_START).windows().get(alert.ordinal());
    }

    private SpendBurn spend(List<SpendSample> spends) {
        return report(spends).spends().stream()
                .filter(spend -> spend.workspace().equals(PLANS))
                .findFirst()
                .orElseThrow();
    }

    private BurnReport report(List<SpendSample> spends) {
        return BurnCalculator.compute(new Records(jobs, List.of(), spends), document, NOW_MS);
    }
}
