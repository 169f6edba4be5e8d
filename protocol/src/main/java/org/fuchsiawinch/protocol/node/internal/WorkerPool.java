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
 * Workers of a cell that this node owns. Renews their leases and tracks which workers are reachable, unreachable, lost
 * or about to leave. Changes are passed to the scheduler once the owner is active. Not thread-safe.
 */
final class WorkerPool {

    private final NodeSettings settings;
    private final NodeOutput output;
    private final SchedulerEventHandler scheduler;
    private final AttemptDriver attempts;
    private final LeaseGranter leases;
    private final PlatformWorkerList list;
    private final Map<WorkerId, WorkerView> workers = new TreeMap<>();
    private boolean active;
    private long epoch;
    private long earlierLeasesEndAtMs;
    private long resumedMs = Long.MIN_VALUE / 2; // halved so that the difference to a time does not overflow

    WorkerPool(
            NodeSettings settings,
            NodeOutput output,
            SchedulerEventHandler scheduler,
            AttemptDriver attempts,
            LeaseGranter leases) {
        this.settings = settings;
        this.output = output;
        this.scheduler = scheduler;
        this.attempts = attempts;
        this.leases = leases;
        this.list = new PlatformWorkerList(settings.listLagMs());
    }

    /**
     * Starts an epoch with the listed workers, none of which has replied yet.
     *
     * @param newEpoch epoch of the owner
     * @param earlierLeasesEndMs Unix time in ms by which all leases granted by earlier owners have expired, by any
     *     clock
     * @param nowMs current Unix time in ms
     */
    void beginEpoch(long newEpoch, long earlierLeasesEndMs, long nowMs) {
        epoch = newEpoch;
        earlierLeasesEndAtMs = earlierLeasesEndMs;
        list.workers().forEach(worker -> addWorker(worker, nowMs));
        renewLeases(nowMs);
    }

    void clear() {
        active = false;
        workers.clear();
    }

    void updateList(List<WorkerSpec> all, List<WorkerId> leaving, boolean owning, long nowMs) {
        list.update(all, leaving, nowMs);
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
    boolean handleReply(WorkerId id, WorkerReply reply, long nowMs) {
        WorkerView worker = workers.get(id);
        if (worker == null || !worker.recordReply(reply.answeredMs(), settings.clockDriftMs(), nowMs)) {
            return false;
        }
        if (reply.leaving()) {
            markLeaving(id, nowMs);
        }
        boolean onlyKnownParts = attempts.handleReports(id, reply, active, nowMs);
        if (onlyKnownParts) {
            markReachable(worker, nowMs);
        }
        return true;
    }

    /**
     * Returns whether a worker may be given new work: it is not leaving, has replied within half a lease, and the list
     * of workers is not stale after a pause of the process.
     */
    boolean acceptsWork(WorkerId id, long nowMs) {
        WorkerView worker = workers.get(id);
        boolean listStale = list.lastReadMs() <= resumedMs && nowMs - resumedMs <= settings.listLagMs();
        return worker != null
                && !listStale
                && !worker.leaving()
                && worker.reachability() == WorkerView.Reachability.REACHABLE
                && !worker.silentFor(nowMs, settings.leaseMs() / 2);
    }

    /**
     * Handles a pause of the process: no worker is given new work until the list of workers has been read again or the
     * bound on its lag has passed.
     */
    void resumedAfterPause(long nowMs) {
        resumedMs = nowMs;
    }

    boolean allReachable() {
        return !workers.isEmpty()
                && workers.values().stream()
                        .allMatch(worker -> worker.reachability() == WorkerView.Reachability.REACHABLE);
    }

    /** Passes all workers to the scheduler. Returns the number of workers that have replied. */
    int activate(long nowMs) {
        active = true;
        int reachable = 0;
        for (WorkerView worker : List.copyOf(workers.values())) {
            WorkerId id = worker.spec().id();
            scheduler.handle(new SchedulerEvent.WorkerJoined(worker.spec()), nowMs);
            if (worker.reachability() == WorkerView.Reachability.REACHABLE) {
                reachable++;
            } else {
                worker.reachability(WorkerView.Reachability.UNREACHABLE);
                scheduler.handle(new SchedulerEvent.WorkerUnreachable(id), nowMs);
            }
            if (worker.leaving() || list.leaving(id)) {
                worker.leaving(true);
                scheduler.handle(new SchedulerEvent.WorkerLeaving(id), nowMs);
            }
        }
        return reachable;
    }

    int size() {
        return workers.size();
    }

    void renewLeases(long nowMs) {
        for (WorkerView worker : workers.values()) {
            if (!worker.renewalDue(nowMs, settings.renewIntervalMs())) {
                continue;
            }
            boolean notReplying = worker.reachability() == WorkerView.Reachability.UNREACHABLE
                    || worker.reachability() == WorkerView.Reachability.LOST;
            long untilMs = notReplying || !leases.canGrant(nowMs) ? 0 : leases.leaseEndMs(nowMs);
            worker.renewalSent(nowMs, untilMs);
            output.emit(new NodeEffect.Command(
                    worker.spec().id(), new WorkerCommand.Renew(settings.cell(), epoch, untilMs)));
        }
    }

    /**
     * Marks workers that have not replied for half a lease duration as unreachable, fails the gang parts on them after
     * a whole one and the clock drift, and marks them as lost once their leases have expired.
     */
    void detectSilentWorkers(long nowMs) {
        for (WorkerView worker : List.copyOf(workers.values())) {
            WorkerId id = worker.spec().id();
            boolean silent = worker.silentFor(nowMs, settings.leaseMs() / 2);
            if (worker.reachability() == WorkerView.Reachability.REACHABLE && silent) {
                worker.reachability(WorkerView.Reachability.UNREACHABLE);
                output.emit(new NodeEffect.Report(new NodeEvent.WorkerSilent(id)));
                scheduler.handle(new SchedulerEvent.WorkerUnreachable(id), nowMs);
            }
            if (worker.reachability() != WorkerView.Reachability.UNREACHABLE || !silent) {
                continue;
            }
            if (worker.leaseExpired(nowMs, settings.clockDriftMs())) {
                markLost(worker, nowMs);
            } else if (worker.silentFor(nowMs, settings.leaseMs() + settings.clockDriftMs())) {
                attempts.failGangPartsOn(id, nowMs);
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
            if (active && worker.reachability() != WorkerView.Reachability.LOST) {
                markLost(worker, nowMs);
            }
            workers.remove(id);
        }
        if (active) {
            goneWorkers(attempts.workersInUse()).forEach(attempts::markWorkerLost);
        }
    }

    private List<WorkerId> goneWorkers(Collection<WorkerId> candidates) {
        return candidates.stream()
                .filter(id -> !workers.containsKey(id) && list.gone(id))
                .toList();
    }

    private void markLost(WorkerView worker, long nowMs) {
        WorkerId id = worker.spec().id();
        worker.reachability(WorkerView.Reachability.LOST);
        attempts.markWorkerLost(id);
        scheduler.handle(new SchedulerEvent.WorkerLost(id), nowMs);
    }

    private void addWorker(WorkerSpec spec, long nowMs) {
        workers.put(spec.id(), new WorkerView(spec, nowMs, earlierLeasesEndAtMs));
    }

    private void markReachable(WorkerView worker, long nowMs) {
        WorkerView.Reachability before = worker.reachability();
        boolean rejoins = before == WorkerView.Reachability.LOST || before == WorkerView.Reachability.UNSEEN;
        // a lost or unseen worker rejoins only once no attempt under way has a part on it
        if (active && rejoins && attempts.hasPartOn(worker.spec().id())) {
            return;
        }
        worker.markReachable(nowMs + settings.leaseMs() + settings.clockDriftMs());
        if (active && before != WorkerView.Reachability.REACHABLE && !worker.leaving()) {
            scheduler.handle(new SchedulerEvent.WorkerJoined(worker.spec()), nowMs);
        }
    }

    private void markLeaving(WorkerId id, long nowMs) {
        WorkerView worker = workers.get(id);
        if (worker == null || worker.leaving()) {
            return;
        }
        worker.leaving(true);
        if (active && worker.reachability() == WorkerView.Reachability.REACHABLE) {
            scheduler.handle(new SchedulerEvent.WorkerLeaving(id), nowMs);
        }
    }
}
