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
 * Replays one trace against one scheduler on a virtual clock. Equal traces, policies, seeds and schedulers give equal
 * histories. Use one instance per replay; not thread-safe.
 */
public final class ReplayEngine {

    /** Interval of scheduler ticks while jobs are open or workers are quarantined. */
    private static final long TICK_INTERVAL_MS = 1_000;

    private final Trace trace;
    private final Policy policy;
    private final Map<String, Policy> policiesByFile;
    private final Scheduler scheduler;
    private final ReplayContext context;
    private final FakeWorkers workers;
    private final FakeGangs gangs;
    private final FakeCallers callers;
    private final Set<WorkerId> quarantined = new HashSet<>();
    private boolean tickScheduled;

    /**
     * Creates the engine.
     *
     * @param trace the trace
     * @param policy policy of the document in force from the start
     * @param policiesByFile policies of the documents that the trace puts in force, by their file name in the trace
     * @param scheduler scheduler without state from earlier replays
     * @param seed seed of the protocol delays
     */
    public ReplayEngine(
            Trace trace, Policy policy, Map<String, Policy> policiesByFile, Scheduler scheduler, long seed) {
        this.trace = trace;
        this.policy = policy;
        this.policiesByFile = Map.copyOf(policiesByFile);
        this.scheduler = scheduler;
        this.context = new ReplayContext(seed);
        this.workers = new FakeWorkers(context);
        this.callers = new FakeCallers(context);
        this.gangs = new FakeGangs(context, workers, callers::resultArrived);
        context.setScheduler(this::deliver);
        callers.setSubmitListener(this::scheduleTick);
    }

    /**
     * Runs the replay until no action is left or the trace's horizon is reached.
     *
     * @return all events in order of time
     */
    public List<HistoryEvent> run() {
        applyPolicy(policy);
        trace.events().forEach(event -> context.clock().scheduleAt(event.atMs(), () -> apply(event)));
        boolean more = true;
        while (more) {
            more = context.clock().runNext(trace.horizonMs());
        }
        recordOpenJobs();
        return List.copyOf(context.history());
    }

    private void apply(TraceEvent event) {
        if (event instanceof TraceEvent.WorkerJoins joins) {
            workers.join(joins.worker());
        } else if (event instanceof TraceEvent.Submit submit) {
            callers.submit(submit.job());
        } else if (event instanceof TraceEvent.Cancel cancel) {
            callers.cancel(cancel.job());
        } else if (event instanceof TraceEvent.WorkerLost lost) {
            workers.lose(lost.worker());
        } else if (event instanceof TraceEvent.WorkerSilent silent) {
            workers.disconnect(silent.worker());
        } else if (event instanceof TraceEvent.WorkerBack back) {
            workers.restore(back.worker());
        } else if (event instanceof TraceEvent.WorkerLeaving leaving) {
            workers.startLeaving(leaving.worker());
        } else if (event instanceof TraceEvent.WorkerFaulty faulty) {
            workers.makeFaulty(faulty.worker(), faulty.untilMs());
        } else if (event instanceof TraceEvent.UsageLag lag) {
            context.setUsageLagMs(lag.lagMs());
        } else if (event instanceof TraceEvent.LogOutage outage) {
            startLogOutage(outage.untilMs());
        } else if (event instanceof TraceEvent.DocumentChange change) {
            context.afterAppend(change.file(), () -> applyPolicy(policiesByFile.get(change.file())));
        }
    }

    private void startLogOutage(long untilMs) {
        context.startLogOutage(untilMs);
        context.record(new HistoryEvent.LogDown(context.nowMs()));
        context.clock().scheduleAt(untilMs, () -> {
            if (!context.logUnavailable()) {
                context.record(new HistoryEvent.LogUp(context.nowMs()));
            }
        });
    }

    private void applyPolicy(Policy next) {
        gangs.setCheckpointBoundMs(next.lending().checkpointMs());
        context.record(new HistoryEvent.PolicyInForce(context.nowMs(), next));
        context.notifyScheduler(new SchedulerEvent.PolicyChanged(next));
    }

    private void deliver(SchedulerEvent event) {
        if (event instanceof SchedulerEvent.ProbeEnded probe && probe.healthy()) {
            quarantined.remove(probe.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            quarantined.remove(lost.worker());
        }
        scheduler.decide(event, context.nowMs()).forEach(this::execute);
    }

    private void execute(Decision decision) {
        if (decision instanceof Decision.StartGang start) {
            gangs.start(callers.job(start.attempt().job()), start);
        } else if (decision instanceof Decision.StopGang stop) {
            gangs.stop(stop);
        } else if (decision instanceof Decision.PromoteGang promote) {
            context.record(new HistoryEvent.AttemptPromoted(context.nowMs(), promote.attempt()));
        } else if (decision instanceof Decision.EndJob end) {
            callers.reportEnd(end);
        } else if (decision instanceof Decision.ProbeWorker probe) {
            workers.probe(probe.worker());
        } else if (decision instanceof Decision.QuarantineWorker quarantine) {
            quarantined.add(quarantine.worker());
            context.record(new HistoryEvent.WorkerQuarantined(context.nowMs(), quarantine.worker()));
            scheduleTick();
        }
    }

    private void scheduleTick() {
        if (tickScheduled) {
            return;
        }
        tickScheduled = true;
        context.clock().scheduleAfter(TICK_INTERVAL_MS, this::tick);
    }

    private void tick() {
        tickScheduled = false;
        deliver(new SchedulerEvent.Tick());
        if (callers.hasOpenJobs() || !quarantined.isEmpty()) {
            scheduleTick();
        }
    }

    private void recordOpenJobs() {
        for (JobId job : new ArrayList<>(callers.openJobs())) {
            Optional<Reason> waiting = scheduler.waitReason(job, context.nowMs());
            context.record(new HistoryEvent.JobOpenAtEnd(
                    context.nowMs(), job, gangs.hasActiveAttempt(job), waiting.map(Reason::code)));
        }
    }
}
