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

    private final Stage stage;
    private final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    private Listener listener;

    FakeWorkers(Stage stage) {
        this.stage = stage;
    }

    /** Receives state changes of workers. */
    interface Listener {

        /** Notifies that everything on the worker has stopped. */
        void gone(WorkerId worker);

        /** Notifies that the worker is reachable again and that its parts kept running. */
        void reachable(WorkerId worker);
    }

    void listen(Listener target) {
        listener = target;
    }

    FakeWorker worker(WorkerId id) {
        return workers.get(id);
    }

    void join(WorkerSpec spec) {
        FakeWorker worker = new FakeWorker(spec);
        workers.put(spec.id(), worker);
        open(worker);
    }

    void lose(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state == FakeWorker.State.GONE) {
            return;
        }
        takeDown(worker, FakeWorker.State.GONE);
        worker.heldReports.clear();
        listener.gone(id);
        watchLease(worker);
    }

    void silence(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state != FakeWorker.State.UP) {
            return;
        }
        takeDown(worker, FakeWorker.State.SILENT);
        watchLease(worker);
    }

    void back(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state == FakeWorker.State.UP && !worker.leaving) {
            return;
        }
        FakeWorker.State before = worker.state;
        if (before == FakeWorker.State.GONE && !worker.lossTold) {
            tellLost(worker);
        }
        open(worker);
        if (before == FakeWorker.State.SILENT) {
            List<Runnable> reports = new ArrayList<>(worker.heldReports);
            worker.heldReports.clear();
            reports.forEach(Runnable::run);
            listener.reachable(id);
        }
    }

    void leave(WorkerId id) {
        FakeWorker worker = workers.get(id);
        if (worker.state != FakeWorker.State.UP || worker.leaving) {
            return;
        }
        worker.leaving = true;
        int incarnation = worker.incarnation;
        stage.record(new HistoryEvent.WorkerDown(stage.nowMs(), id));
        stage.timeline().after(ProtocolTimes.LEAVING_LAG_MS, () -> {
            if (worker.incarnation != incarnation) {
                return;
            }
            stage.record(new HistoryEvent.WorkerClosed(stage.nowMs(), id));
            stage.tell(new SchedulerEvent.WorkerLeaving(id));
            departWhenIdle(worker, incarnation);
        });
    }

    void makeFaulty(WorkerId id, long untilMs) {
        FakeWorker worker = workers.get(id);
        worker.faultyUntilMs = Math.max(worker.faultyUntilMs, untilMs);
    }

    void probe(WorkerId id) {
        stage.timeline().after(stage.delay(ProtocolTimes.PROBE_MS, "probe", id), () -> {
            FakeWorker worker = workers.get(id);
            boolean healthy = worker != null && worker.reachable() && !worker.faulty(stage.nowMs());
            stage.record(new HistoryEvent.WorkerProbed(stage.nowMs(), id, healthy));
            stage.tell(new SchedulerEvent.ProbeEnded(id, healthy));
        });
    }

    private void open(FakeWorker worker) {
        worker.state = FakeWorker.State.UP;
        worker.leaving = false;
        worker.lossTold = false;
        worker.incarnation++;
        stage.record(new HistoryEvent.WorkerUp(stage.nowMs(), worker.spec));
        stage.record(new HistoryEvent.WorkerOpened(stage.nowMs(), worker.spec));
        stage.tell(new SchedulerEvent.WorkerJoined(worker.spec));
    }

    private void takeDown(FakeWorker worker, FakeWorker.State state) {
        worker.state = state;
        worker.incarnation++;
        stage.record(new HistoryEvent.WorkerDown(stage.nowMs(), worker.spec.id()));
    }

    private void watchLease(FakeWorker worker) {
        int incarnation = worker.incarnation;
        WorkerId id = worker.spec.id();
        stage.timeline().after(ProtocolTimes.HEARTBEAT_TIMEOUT_MS, () -> {
            if (worker.incarnation == incarnation) {
                stage.record(new HistoryEvent.WorkerClosed(stage.nowMs(), id));
                stage.tell(new SchedulerEvent.WorkerUnreachable(id));
            }
        });
        stage.timeline().after(ProtocolTimes.LEASE_MS, () -> {
            if (worker.incarnation == incarnation) {
                lapse(worker);
            }
        });
    }

    private void lapse(FakeWorker worker) {
        if (worker.state == FakeWorker.State.SILENT) {
            worker.state = FakeWorker.State.GONE;
            worker.heldReports.clear();
            listener.gone(worker.spec.id());
        }
        tellLost(worker);
    }

    private void tellLost(FakeWorker worker) {
        worker.lossTold = true;
        WorkerId id = worker.spec.id();
        stage.record(new HistoryEvent.WorkerClosed(stage.nowMs(), id));
        stage.tell(new SchedulerEvent.WorkerLost(id));
    }

    private void departWhenIdle(FakeWorker worker, int incarnation) {
        if (worker.incarnation != incarnation) {
            return;
        }
        if (worker.gangs > 0) {
            stage.timeline().after(ProtocolTimes.START_RETRY_MS, () -> departWhenIdle(worker, incarnation));
            return;
        }
        worker.state = FakeWorker.State.GONE;
        worker.incarnation++;
        tellLost(worker);
    }
}
