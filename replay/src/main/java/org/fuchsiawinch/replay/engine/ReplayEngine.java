package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;

/**
 * Replays one trace against one scheduler on a virtual clock. The same trace, policies, seed and scheduler give the
 * same history. An instance serves one replay; not thread-safe.
 */
public final class ReplayEngine {

    private static final long TICK_MS = 1_000;

    private final Trace trace;
    private final Policy policy;
    private final Map<String, Policy> policiesByFile;
    private final Scheduler scheduler;
    private final Stage stage;
    private final FakeWorkers workers;
    private final FakeGangs gangs;
    private final FakeCallers callers;
    private final Set<WorkerId> quarantined = new HashSet<>();
    private boolean ticking;

    /**
     * Creates the engine.
     *
     * @param trace the trace
     * @param policy the document in force from the start
     * @param policiesByFile documents by the name of their file in the trace
     * @param scheduler a fresh scheduler
     * @param seed seed of the protocol delays
     */
    public ReplayEngine(
            Trace trace, Policy policy, Map<String, Policy> policiesByFile, Scheduler scheduler, long seed) {
        this.trace = trace;
        this.policy = policy;
        this.policiesByFile = Map.copyOf(policiesByFile);
        this.scheduler = scheduler;
        this.stage = new Stage(seed);
        this.workers = new FakeWorkers(stage);
        this.callers = new FakeCallers(stage);
        this.gangs = new FakeGangs(stage, workers, callers::resultArrived);
        stage.connect(this::deliver);
        callers.listen(this::keepTicking);
    }

    /**
     * Runs the replay until nothing is left to happen, or to the trace's horizon.
     *
     * @return all facts in order of time
     */
    public List<HistoryEvent> run() {
        enforce(policy);
        trace.events().forEach(event -> stage.timeline().at(event.atMs(), () -> happen(event)));
        boolean more = true;
        while (more) {
            more = stage.timeline().step(trace.horizonMs());
        }
        recordOpenJobs();
        return List.copyOf(stage.history());
    }

    private void happen(TraceEvent event) {
        if (event instanceof TraceEvent.WorkerJoins joins) {
            workers.join(joins.worker());
        } else if (event instanceof TraceEvent.Submit submit) {
            callers.submit(submit.job());
        } else if (event instanceof TraceEvent.Cancel cancel) {
            callers.cancel(cancel.job());
        } else if (event instanceof TraceEvent.WorkerLost lost) {
            workers.lose(lost.worker());
        } else if (event instanceof TraceEvent.WorkerSilent silent) {
            workers.silence(silent.worker());
        } else if (event instanceof TraceEvent.WorkerBack back) {
            workers.back(back.worker());
        } else if (event instanceof TraceEvent.WorkerLeaving leaving) {
            workers.leave(leaving.worker());
        } else if (event instanceof TraceEvent.WorkerFaulty faulty) {
            workers.makeFaulty(faulty.worker(), faulty.untilMs());
        } else if (event instanceof TraceEvent.UsageLag lag) {
            stage.delayUsage(lag.lagMs());
        } else if (event instanceof TraceEvent.LogOutage outage) {
            stopLog(outage.untilMs());
        } else if (event instanceof TraceEvent.DocumentChange change) {
            stage.afterAppend(change.file(), () -> enforce(policiesByFile.get(change.file())));
        }
    }

    private void stopLog(long untilMs) {
        stage.stopLog(untilMs);
        stage.record(new HistoryEvent.LogDown(stage.nowMs()));
        stage.timeline().at(untilMs, () -> {
            if (!stage.logDown()) {
                stage.record(new HistoryEvent.LogUp(stage.nowMs()));
            }
        });
    }

    private void enforce(Policy next) {
        gangs.boundCheckpoints(next.lending().checkpointMs());
        stage.record(new HistoryEvent.PolicyInForce(stage.nowMs(), next));
        stage.tell(new SchedulerEvent.PolicyChanged(next));
    }

    private void deliver(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.ProbeEnded probe && probe.healthy()) {
            quarantined.remove(probe.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            quarantined.remove(lost.worker());
        }
        scheduler.decide(event, stage.nowMs()).forEach(this::carryOut);
    }

    private void carryOut(Decision decision) {
        if (decision instanceof Decision.StartGang start) {
            gangs.start(callers.job(start.attempt().job()), start);
        } else if (decision instanceof Decision.StopGang stop) {
            gangs.stop(stop);
        } else if (decision instanceof Decision.PromoteGang promote) {
            stage.record(new HistoryEvent.AttemptPromoted(stage.nowMs(), promote.attempt()));
        } else if (decision instanceof Decision.EndJob end) {
            callers.end(end);
        } else if (decision instanceof Decision.ProbeWorker probe) {
            workers.probe(probe.worker());
        } else if (decision instanceof Decision.QuarantineWorker quarantine) {
            quarantined.add(quarantine.worker());
            stage.record(new HistoryEvent.WorkerQuarantined(stage.nowMs(), quarantine.worker()));
            keepTicking();
        }
    }

    private void keepTicking() {
        if (ticking) {
            return;
        }
        ticking = true;
        stage.timeline().after(TICK_MS, this::tick);
    }

    private void tick() {
        ticking = false;
        deliver(new SchedulerEvent.Tick());
        if (callers.anyOpen() || !quarantined.isEmpty()) {
            keepTicking();
        }
    }

    private void recordOpenJobs() {
        for (JobId job : new ArrayList<>(callers.openJobs())) {
            Optional<Reason> waiting = scheduler.waitReason(job, stage.nowMs());
            stage.record(
                    new HistoryEvent.JobOpenAtEnd(stage.nowMs(), job, gangs.active(job), waiting.map(Reason::code)));
        }
    }
}
