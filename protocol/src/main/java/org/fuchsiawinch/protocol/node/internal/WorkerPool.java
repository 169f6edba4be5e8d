package org.fuchsiawinch.protocol.node.internal;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * Workers of a cell that this node owns. Renews their leases and tracks which workers reply, are in doubt, lost or
 * leaving. Changes are passed to the scheduler once the owner is active. Not thread-safe.
 */
final class WorkerPool {

    private final NodeSettings settings;
    private final Outlet outlet;
    private final EventSink scheduler;
    private final AttemptDriver attempts;
    private final Leases leases;
    private final VmList list;
    private final Map<WorkerId, WorkerView> workers = new TreeMap<>();
    private boolean active;
    private long epoch;
    private long doubtUntilMs;
    private long resumedMs = Long.MIN_VALUE / 2;

    WorkerPool(NodeSettings settings, Outlet outlet, EventSink scheduler, AttemptDriver attempts, Leases leases) {
        this.settings = settings;
        this.outlet = outlet;
        this.scheduler = scheduler;
        this.attempts = attempts;
        this.leases = leases;
        this.list = new VmList(settings.listLagMs());
    }

    /**
     * Starts an epoch with the listed workers, none of which has replied yet.
     *
     * @param newEpoch epoch of the owner
     * @param earlierLeasesEndMs Unix time in ms by which all leases granted by earlier owners have expired, by any
     *     clock
     * @param nowMs current Unix time in ms
     */
    void begin(long newEpoch, long earlierLeasesEndMs, long nowMs) {
        epoch = newEpoch;
        doubtUntilMs = earlierLeasesEndMs;
        list.workers().forEach(worker -> addWorker(worker, nowMs));
        renewLeases(nowMs);
    }

    void clear() {
        active = false;
        workers.clear();
    }

    void listed(List<WorkerSpec> all, List<WorkerId> leaving, boolean owning, long nowMs) {
        list.take(all, leaving, nowMs);
        if (!owning) {
            return;
        }
        all.stream()
                .filter(worker -> !workers.containsKey(worker.id()))
                .toList()
                .forEach(worker -> addWorker(worker, nowMs));
        leaving.forEach(worker -> markLeaving(worker, nowMs));
        removeGone(nowMs);
    }

    /**
     * Handles a reply to a command of this epoch. Returns false if the reply is out of order or the worker is not
     * known.
     */
    boolean replied(WorkerId id, WorkerReply reply, long nowMs) {
        WorkerView worker = workers.get(id);
        if (worker == null || !worker.replied(reply.answeredMs(), settings.clockDriftMs(), nowMs)) {
            return false;
        }
        if (reply.leaving()) {
            markLeaving(id, nowMs);
        }
        boolean clean = attempts.reported(id, reply, active, nowMs);
        if (clean) {
            reach(worker, nowMs);
        }
        return true;
    }

    /** Returns whether a worker may be given new work: it is not leaving and has replied recently. */
    boolean usable(WorkerId id, long nowMs) {
        WorkerView worker = workers.get(id);
        boolean listOld = list.lastMs() <= resumedMs && nowMs - resumedMs <= settings.listLagMs();
        return worker != null
                && !listOld
                && !worker.leaving()
                && worker.contact() == WorkerView.Contact.REACHED
                && !worker.silentFor(nowMs, settings.leaseMs() / 2);
    }

    /**
     * Handles a pause of the process: no worker is given new work until the list of workers has been read again or the
     * bound on its lag has passed.
     */
    void resumed(long nowMs) {
        resumedMs = nowMs;
    }

    boolean allReached() {
        return !workers.isEmpty()
                && workers.values().stream().allMatch(worker -> worker.contact() == WorkerView.Contact.REACHED);
    }

    /** Passes all workers to the scheduler. Returns the number of workers that have replied. */
    int activate(long nowMs) {
        active = true;
        int reached = 0;
        for (WorkerView worker : List.copyOf(workers.values())) {
            WorkerId id = worker.spec().id();
            scheduler.decide(new SchedulerEvent.WorkerJoined(worker.spec()), nowMs);
            if (worker.contact() == WorkerView.Contact.REACHED) {
                reached++;
            } else {
                worker.contact(WorkerView.Contact.IN_DOUBT);
                scheduler.decide(new SchedulerEvent.WorkerUnreachable(id), nowMs);
            }
            if (worker.leaving() || list.leaving(id)) {
                worker.leaving(true);
                scheduler.decide(new SchedulerEvent.WorkerLeaving(id), nowMs);
            }
        }
        return reached;
    }

    int size() {
        return workers.size();
    }

    void renewLeases(long nowMs) {
        for (WorkerView worker : workers.values()) {
            if (!worker.renewalDue(nowMs, settings.renewIntervalMs())) {
                continue;
            }
            boolean doubtful =
                    worker.contact() == WorkerView.Contact.IN_DOUBT || worker.contact() == WorkerView.Contact.LOST;
            long untilMs = doubtful || !leases.grantable(nowMs) ? 0 : leases.untilMs(nowMs);
            worker.sent(nowMs, untilMs);
            outlet.emit(new NodeEffect.Command(
                    worker.spec().id(), new WorkerCommand.Renew(settings.cell(), epoch, untilMs)));
        }
    }

    void checkSilence(long nowMs) {
        for (WorkerView worker : List.copyOf(workers.values())) {
            WorkerId id = worker.spec().id();
            boolean silent = worker.silentFor(nowMs, settings.leaseMs() / 2);
            if (worker.contact() == WorkerView.Contact.REACHED && silent) {
                worker.contact(WorkerView.Contact.IN_DOUBT);
                outlet.emit(new NodeEffect.Report(new NodeEvent.WorkerSilent(id)));
                scheduler.decide(new SchedulerEvent.WorkerUnreachable(id), nowMs);
            }
            if (worker.contact() != WorkerView.Contact.IN_DOUBT || !silent) {
                continue;
            }
            if (worker.leaseLapsed(nowMs, settings.clockDriftMs())) {
                lose(worker, nowMs);
            } else if (worker.silentFor(nowMs, settings.leaseMs() + settings.clockDriftMs())) {
                attempts.breakGangs(id, nowMs);
            }
        }
    }

    /** Removes the workers that are gone from the platform's list and marks their parts as gone. */
    void removeGone(long nowMs) {
        for (WorkerView worker : List.copyOf(workers.values())) {
            WorkerId id = worker.spec().id();
            if (!list.gone(id)) {
                continue;
            }
            if (active && worker.contact() != WorkerView.Contact.LOST) {
                lose(worker, nowMs);
            }
            workers.remove(id);
        }
        if (active) {
            goneHolders(attempts.workers()).forEach(attempts::workerLost);
        }
    }

    private List<WorkerId> goneHolders(Collection<WorkerId> holders) {
        return holders.stream()
                .filter(id -> !workers.containsKey(id) && list.gone(id))
                .toList();
    }

    private void lose(WorkerView worker, long nowMs) {
        WorkerId id = worker.spec().id();
        worker.contact(WorkerView.Contact.LOST);
        attempts.workerLost(id);
        scheduler.decide(new SchedulerEvent.WorkerLost(id), nowMs);
    }

    private void addWorker(WorkerSpec spec, long nowMs) {
        workers.put(spec.id(), new WorkerView(spec, nowMs, doubtUntilMs));
    }

    private void reach(WorkerView worker, long nowMs) {
        WorkerView.Contact before = worker.contact();
        boolean joins = before == WorkerView.Contact.LOST || before == WorkerView.Contact.UNSEEN;
        if (active && joins && attempts.uses(worker.spec().id())) {
            return;
        }
        worker.reached(nowMs + settings.leaseMs() + settings.clockDriftMs());
        if (active && before != WorkerView.Contact.REACHED && !worker.leaving()) {
            scheduler.decide(new SchedulerEvent.WorkerJoined(worker.spec()), nowMs);
        }
    }

    private void markLeaving(WorkerId id, long nowMs) {
        WorkerView worker = workers.get(id);
        if (worker == null || worker.leaving()) {
            return;
        }
        worker.leaving(true);
        if (active && worker.contact() == WorkerView.Contact.REACHED) {
            scheduler.decide(new SchedulerEvent.WorkerLeaving(id), nowMs);
        }
    }
}
