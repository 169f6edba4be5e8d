package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Fake workers of one replay, with their heartbeats, their leases and the platform's list of leaving VMs. Not
 * thread-safe.
 */
final class FakeWorkers {

    private final ReplayContext context;
    private final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    private Listener listener;

    FakeWorkers(ReplayContext context) {
        this.context = context;
    }

    /** Receives state changes of workers. */
    interface Listener {

        /** Notifies that everything on the worker has stopped. */
        void onWorkerStopped(WorkerId worker);

        /** Notifies that the worker is reachable again and that its parts kept running. */
        void onWorkerReachable(WorkerId worker);
    }

    void setListener(Listener receiver) {
        listener = receiver;
    }

    FakeWorker worker(WorkerId id) {
        return workers.get(id);
    }

    void join(WorkerSpec spec) {
        FakeWorker worker = new FakeWorker(spec);
        workers.put(spec.id(), worker);
        startServing(worker);
    }

    void lose(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state == FakeWorker.State.DOWN) {
            return;
        }
        takeDown(worker, FakeWorker.State.DOWN);
        worker.undeliveredReports.clear();
        listener.onWorkerStopped(id);
        scheduleLeaseExpiry(worker);
    }

    void disconnect(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state != FakeWorker.State.UP) {
            return;
        }
        takeDown(worker, FakeWorker.State.SILENT);
        scheduleLeaseExpiry(worker);
    }

    void restore(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state == FakeWorker.State.UP && !worker.leaving) {
            return;
        }
        FakeWorker.State before = worker.state;
        if (before == FakeWorker.State.DOWN && !worker.lossReported) {
            reportLost(worker);
        }
        startServing(worker);
        if (before == FakeWorker.State.SILENT) {
            List<Runnable> reports = new ArrayList<>(worker.undeliveredReports);
            worker.undeliveredReports.clear();
            reports.forEach(Runnable::run);
            listener.onWorkerReachable(id);
        }
    }

    void startLeaving(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state != FakeWorker.State.UP || worker.leaving) {
            return;
        }
        worker.leaving = true;
        int incarnation = worker.incarnation;
        context.record(new HistoryEvent.WorkerDown(context.nowMs(), id));
        context.clock().scheduleAfter(ProtocolTimes.LEAVING_LAG_MS, () -> {
            if (worker.incarnation != incarnation) {
                return;
            }
            context.record(new HistoryEvent.WorkerClosed(context.nowMs(), id));
            context.notifyScheduler(new SchedulerEvent.WorkerLeaving(id));
            departWhenIdle(worker, incarnation);
        });
    }

    void makeFaulty(WorkerId id, long untilMs) {
        FakeWorker worker = workers.get(id);
        worker.faultyUntilMs = Math.max(worker.faultyUntilMs, untilMs);
    }

    void probe(WorkerId id) {
        context.clock().scheduleAfter(context.delayMs(ProtocolTimes.PROBE_DURATION_MS, "probe", id), () -> {
            FakeWorker worker = workers.get(id);
            boolean healthy = worker != null && worker.reachable() && !worker.faulty(context.nowMs());
            context.record(new HistoryEvent.WorkerProbed(context.nowMs(), id, healthy));
            context.notifyScheduler(new SchedulerEvent.ProbeEnded(id, healthy));
        });
    }

    private void startServing(FakeWorker worker) {
        worker.state = FakeWorker.State.UP;
        worker.leaving = false;
        worker.lossReported = false;
        worker.incarnation++;
        context.record(new HistoryEvent.WorkerUp(context.nowMs(), worker.spec));
        context.record(new HistoryEvent.WorkerOpened(context.nowMs(), worker.spec));
        context.notifyScheduler(new SchedulerEvent.WorkerJoined(worker.spec));
    }

    private void takeDown(FakeWorker worker, FakeWorker.State state) {
        worker.state = state;
        worker.incarnation++;
        context.record(new HistoryEvent.WorkerDown(context.nowMs(), worker.spec.id()));
    }

    private void scheduleLeaseExpiry(FakeWorker worker) {
        int incarnation = worker.incarnation;
        WorkerId id = worker.spec.id();
        context.clock().scheduleAfter(ProtocolTimes.HEARTBEAT_TIMEOUT_MS, () -> {
            if (worker.incarnation == incarnation) {
                context.record(new HistoryEvent.WorkerClosed(context.nowMs(), id));
                context.notifyScheduler(new SchedulerEvent.WorkerUnreachable(id));
            }
        });
        context.clock().scheduleAfter(ProtocolTimes.LEASE_MS, () -> {
            if (worker.incarnation == incarnation) {
                expireLease(worker);
            }
        });
    }

    private void expireLease(FakeWorker worker) {
        if (worker.state == FakeWorker.State.SILENT) {
            worker.state = FakeWorker.State.DOWN;
            worker.undeliveredReports.clear();
            listener.onWorkerStopped(worker.spec.id());
        }
        reportLost(worker);
    }

    private void reportLost(FakeWorker worker) {
        worker.lossReported = true;
        WorkerId id = worker.spec.id();
        context.record(new HistoryEvent.WorkerClosed(context.nowMs(), id));
        context.notifyScheduler(new SchedulerEvent.WorkerLost(id));
    }

    private void departWhenIdle(FakeWorker worker, int incarnation) {
        if (worker.incarnation != incarnation) {
            return;
        }
        if (worker.attemptCount > 0) {
            context.clock().scheduleAfter(ProtocolTimes.RETRY_INTERVAL_MS, () -> departWhenIdle(worker, incarnation));
            return;
        }
        worker.state = FakeWorker.State.DOWN;
        worker.incarnation++;
        reportLost(worker);
    }
}
