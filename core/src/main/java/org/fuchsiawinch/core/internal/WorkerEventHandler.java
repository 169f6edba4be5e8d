package org.fuchsiawinch.core.internal;

import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;

/** Handles changes of workers: joining, leaving, loss, quarantine and probes. Not thread-safe. */
final class WorkerEventHandler {

    private final SchedulerState state;
    private final JobStarter starter;
    private final JobEnqueuer enqueuer;
    private final JobEndHandler endHandler;

    WorkerEventHandler(SchedulerState state, JobStarter starter, JobEnqueuer enqueuer, JobEndHandler endHandler) {
        this.state = state;
        this.starter = starter;
        this.enqueuer = enqueuer;
        this.endHandler = endHandler;
    }

    void workerJoined(WorkerSpec spec) {
        Worker worker = state.pool.join(spec);
        worker.quarantine(state.faults.quarantined(spec.id()));
        if (worker.overCommitted()) {
            evacuate(worker);
        }
        becameAvailable(worker);
    }

    void leaving(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            worker.markLeaving();
            evacuate(worker);
        });
    }

    void unreachable(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            worker.markUnreachable();
            evacuate(worker);
        });
    }

    /** Stops the gangs on a lost worker, moves its guarantees elsewhere and removes it. */
    void lost(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            endHandler.workerLost(worker);
            worker.markLeaving();
            evacuate(worker);
            moveRemainingUnits(worker);
            state.pool.remove(worker);
        });
    }

    /** Cancels claims on workers newly put into quarantine, moves their guarantees and emits the decisions. */
    void quarantineFaultyWorkers() {
        while (!state.newlyQuarantined.isEmpty()) {
            WorkerId id = state.newlyQuarantined.pollFirst();
            state.emit(new Decision.QuarantineWorker(id, Reason.of(ReasonCode.WORKER_FAILS_JOBS)));
            state.pool.find(id).ifPresent(worker -> {
                worker.quarantine(true);
                evacuate(worker);
            });
        }
    }

    void probeEnded(WorkerId id, boolean healthy) {
        if (!state.faults.probeEnded(id, healthy, state.nowMs())) {
            return;
        }
        state.pool.find(id).ifPresent(worker -> {
            worker.quarantine(false);
            becameAvailable(worker);
        });
    }

    void sendDueProbes() {
        for (WorkerId id : state.faults.dueProbes(this::joined, state.nowMs())) {
            state.emit(new Decision.ProbeWorker(id, Reason.of(ReasonCode.WORKER_PROBE_DUE)));
        }
    }

    private boolean joined(WorkerId id) {
        return state.pool.find(id).map(Worker::joined).orElse(false);
    }

    /** Reports, once, the workspaces of guarantees that are no longer placed. */
    void raiseLossAlarms() {
        if (state.guaranteePlacer.pollUnplaced()) {
            raiseAlarms(GuaranteeUnit::lost);
        }
    }

    /** Reports, once, the workspaces of matching guarantees that are not placed. */
    void raiseAlarms(Predicate<GuaranteeUnit> matching) {
        TreeSet<WorkspaceId> workspaces = new TreeSet<>();
        for (GuaranteeUnit unit : state.guaranteePlacer.allUnits()) {
            if (!unit.placed() && !unit.alarmed() && matching.test(unit)) {
                unit.markAlarmed();
                workspaces.add(unit.workspace());
            }
        }
        for (WorkspaceId workspace : workspaces) {
            state.emit(new Decision.GuaranteeLost(workspace, Reason.of(ReasonCode.GUARANTEE_SHAPE_LOST)));
        }
    }

    private void becameAvailable(Worker worker) {
        state.guaranteePlacer.placeInDomainOf(worker);
        state.capacityGrew();
    }

    /** Cancels the claims on a worker that accepts no new work and moves its guarantees elsewhere. */
    private void evacuate(Worker worker) {
        for (Claim claim : List.copyOf(state.claims)) {
            if (claim.uses(worker)) {
                starter.abandon(claim);
                enqueuer.add(claim.job());
            }
        }
        state.guaranteePlacer.evacuate(worker);
    }

    /** Moves the guarantees in full use off a lost worker; their attempts have been requested to stop. */
    private void moveRemainingUnits(Worker worker) {
        List.copyOf(worker.units()).forEach(state.guaranteePlacer::reposition);
    }
}
