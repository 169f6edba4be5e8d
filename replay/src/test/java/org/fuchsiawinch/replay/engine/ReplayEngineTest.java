package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.core.baseline.FirstFitScheduler;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.check.HistoryBuilder;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceJob;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Checks the simulated workers, callers and log against the behaviour that they stand for. A part that outlives its
 * worker's lease, or a start that takes effect during a log outage, would distort every measure.
 */
public class ReplayEngineTest {

    private static final long HORIZON_MS = 600_000;
    private static final WorkerId W1 = new WorkerId("w1");

    private List<TraceEvent> events;
    private List<SchedulerEvent> schedulerEvents;

    @BeforeMethod
    public void addTwoWorkers() {
        schedulerEvents = new ArrayList<>();
        events = new ArrayList<>();
        events.add(new TraceEvent.WorkerJoins(0, HistoryBuilder.workerSpec("w1", 2)));
        events.add(new TraceEvent.WorkerJoins(0, HistoryBuilder.workerSpec("w2", 2)));
    }

    @Test
    public void partRunsForTheTrueAndNotTheDeclaredTime() {
        submit(1_000, "j", 1, 30_000, false);
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        long startedMs = only(history, HistoryEvent.PartStarted.class).atMs();
        HistoryEvent.PartEnded ended = only(history, HistoryEvent.PartEnded.class);
        assertEquals(ended.atMs() - startedMs, 30_000);
        assertEquals(ended.end(), PartEnd.COMPLETED);
    }

    @Test
    public void sameSeedGivesTheSameHistory() {
        submit(1_000, "a", 2, 30_000, false);
        submit(1_000, "b", 4, 30_000, false);
        events.add(new TraceEvent.WorkerLost(5_000, W1));
        events.add(new TraceEvent.WorkerBack(6_000, W1));
        assertEquals(replay(new FirstFitScheduler(false)), replay(new FirstFitScheduler(false)));
    }

    @Test
    public void workerLossEndsItsPartsAtOnceAndIsReportedAfterTheLease() {
        submit(1_000, "j", 1, 60_000, false);
        events.add(new TraceEvent.WorkerLost(5_000, W1));
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        HistoryEvent.PartEnded first =
                all(history, HistoryEvent.PartEnded.class).get(0);
        assertEquals(first.atMs(), 5_000);
        assertEquals(first.end(), PartEnd.LOST);
        assertTrue(schedulerEvents.contains(new SchedulerEvent.WorkerUnreachable(W1)));
        assertTrue(schedulerEvents.contains(new SchedulerEvent.WorkerLost(W1)));
    }

    @Test
    public void silentWorkerThatIsBackWithinItsLeaseLosesNothing() {
        submit(1_000, "j", 1, 5_000, false);
        events.add(new TraceEvent.WorkerSilent(5_000, W1));
        events.add(new TraceEvent.WorkerBack(9_000, W1));
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        assertEquals(only(history, HistoryEvent.PartEnded.class).end(), PartEnd.COMPLETED);
        assertTrue(
                only(history, HistoryEvent.ResultDelivered.class).atMs() >= 9_000,
                "result delivered while the worker was unreachable");
        assertFalse(schedulerEvents.contains(new SchedulerEvent.WorkerLost(W1)));
    }

    @Test
    public void submitDuringALogOutageIsResubmittedAfterIt() {
        events.add(new TraceEvent.LogOutage(500, 50_000));
        submit(1_000, "j", 1, 5_000, false);
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        assertEquals(only(history, HistoryEvent.SubmitDeferred.class).atMs(), 1_000);
        HistoryEvent.JobSubmitted submitted = only(history, HistoryEvent.JobSubmitted.class);
        assertTrue(submitted.atMs() >= 50_000);
        assertEquals(submitted.firstSubmitMs(), 1_000);
    }

    @Test
    public void startDecidedBeforeALogOutageTakesEffectAfterIt() {
        submit(1_000, "j", 1, 5_000, false);
        events.add(new TraceEvent.LogOutage(1_001, 50_000));
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        assertEquals(only(history, HistoryEvent.StartDecided.class).atMs(), 1_000);
        assertTrue(only(history, HistoryEvent.PartStarted.class).atMs() >= 50_000);
    }

    @Test
    public void jobOnAFaultyWorkerFailsAndRunsElsewhere() {
        events.add(new TraceEvent.WorkerFaulty(0, W1, 100_000));
        submit(1_000, "j", 1, 5_000, false);
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        List<HistoryEvent.PartEnded> ends = all(history, HistoryEvent.PartEnded.class);
        assertEquals(
                ends.stream().map(HistoryEvent.PartEnded::end).toList(), List.of(PartEnd.FAILED, PartEnd.COMPLETED));
    }

    @Test
    public void checkpointKeepsProgressAndStopLosesIt() {
        submit(1_000, "j", 1, 60_000, true);
        long savedMs = lastRunMs(replay(stopOnceAt(31_000, StopMode.CHECKPOINT)));
        long lostMs = lastRunMs(replay(stopOnceAt(31_000, StopMode.STOP)));
        assertEquals(lostMs, 60_000);
        assertTrue(savedMs > 29_000 && savedMs < 31_000, "run time in ms after the checkpoint: " + savedMs);
    }

    @Test
    public void checkpointBeyondItsBoundIsAborted() {
        JobSpec spec = checkpointable("j");
        events.add(new TraceEvent.Submit(1_000, new TraceJob(spec, 60_000, 1_024, 25_000, false)));
        List<HistoryEvent> history = replay(stopOnceAt(31_000, StopMode.CHECKPOINT));
        assertEquals(all(history, HistoryEvent.PartEnded.class).get(0).end(), PartEnd.STOPPED);
        assertEquals(lastRunMs(history), 60_000);
    }

    @Test
    public void refusedJobIsResubmittedUnderANewIdAfterTheRetryDelay() {
        submit(1_000, "j", 1, 5_000, false);
        Scheduler refusing = scheduler((event, nowMs) -> event instanceof SchedulerEvent.JobSubmitted submitted
                ? List.of(new Decision.EndJob(
                        submitted.job().id(), false, Reason.retryable(ReasonCode.END_SYSTEM_QUEUE_FULL, 10_000)))
                : List.of());
        List<HistoryEvent.JobSubmitted> submits = all(replay(refusing), HistoryEvent.JobSubmitted.class);
        assertEquals(submits.size(), 6);
        assertEquals(submits.get(1).spec().id(), new JobId("j~2"));
        assertEquals(submits.get(1).originalId(), new JobId("j"));
        assertTrue(submits.get(1).atMs() >= 11_000);
    }

    @Test
    public void leavingWorkerDepartsOnceItsPartsHaveEnded() {
        submit(1_000, "j", 1, 30_000, false);
        events.add(new TraceEvent.WorkerLeaving(5_000, W1));
        List<HistoryEvent> history = replay(new FirstFitScheduler(true));
        assertEquals(only(history, HistoryEvent.PartEnded.class).end(), PartEnd.COMPLETED);
        assertTrue(schedulerEvents.indexOf(new SchedulerEvent.WorkerLeaving(W1))
                < schedulerEvents.indexOf(new SchedulerEvent.WorkerLost(W1)));
    }

    private void submit(long atMs, String id, int parts, long trueRunMs, boolean checkpointable) {
        JobSpec spec = checkpointable ? checkpointable(id) : HistoryBuilder.job(id, parts, true);
        events.add(new TraceEvent.Submit(atMs, new TraceJob(spec, trueRunMs, 1_024, 2_000, false)));
    }

    private static JobSpec checkpointable(String id) {
        JobSpec plain = HistoryBuilder.job(id, 1, true);
        return new JobSpec(
                plain.id(),
                plain.workspace(),
                plain.kind(),
                plain.shape(),
                plain.declaredRunMs(),
                true,
                true,
                plain.urgency(),
                plain.deadlineMs());
    }

    private List<HistoryEvent> replay(Scheduler scheduler) {
        Scheduler recording = scheduler((event, nowMs) -> {
            schedulerEvents.add(event);
            return scheduler.decide(event, nowMs);
        });
        Trace trace = new Trace("t", HORIZON_MS, events);
        return new ReplayEngine(trace, HistoryBuilder.policy(Long.MAX_VALUE), Map.of(), recording, 1).run();
    }

    /**
     * Returns a first-fit scheduler that stops each started attempt once, at the first tick at or after the given time.
     */
    private static Scheduler stopOnceAt(long atMs, StopMode mode) {
        FirstFitScheduler inner = new FirstFitScheduler(true);
        List<Decision.StartGang> starts = new ArrayList<>();
        return scheduler((event, nowMs) -> {
            List<Decision> decisions = new ArrayList<>(inner.decide(event, nowMs));
            decisions.forEach(decision -> {
                if (decision instanceof Decision.StartGang start && nowMs < atMs) {
                    starts.add(start);
                }
            });
            if (event instanceof SchedulerEvent.Tick && nowMs >= atMs && !starts.isEmpty()) {
                starts.forEach(start -> decisions.add(
                        new Decision.StopGang(start.attempt(), mode, Reason.of(ReasonCode.STOP_RECLAIM))));
                starts.clear();
            }
            return decisions;
        });
    }

    private static Scheduler scheduler(BiFunction<SchedulerEvent, Long, List<Decision>> decide) {
        return new Scheduler() {
            @Override
            public List<Decision> decide(SchedulerEvent event, long nowMs) {
                return decide.apply(event, nowMs);
            }

            @Override
            public Optional<Reason> waitReason(JobId job, long nowMs) {
                return Optional.empty();
            }
        };
    }

    private static long lastRunMs(List<HistoryEvent> history) {
        List<HistoryEvent.PartStarted> starts = all(history, HistoryEvent.PartStarted.class);
        List<HistoryEvent.PartEnded> ends = all(history, HistoryEvent.PartEnded.class);
        assertEquals(starts.size(), 2);
        return ends.get(1).atMs() - starts.get(1).atMs();
    }

    private static <T> T only(List<HistoryEvent> history, Class<T> type) {
        List<T> found = all(history, type);
        assertEquals(found.size(), 1, found.toString());
        return found.get(0);
    }

    private static <T> List<T> all(List<HistoryEvent> history, Class<T> type) {
        return history.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
