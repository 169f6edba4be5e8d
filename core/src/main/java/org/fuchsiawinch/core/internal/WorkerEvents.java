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
final class WorkerEvents {

    private final State state;
    private final Starter starter;
    private final Waiting waiting;
    private final JobEndings endings;

    WorkerEvents(State state, Starter starter, Waiting waiting, JobEndings endings) {
        this.state = state;
        this.starter = starter;
        this.waiting = waiting;
        this.endings = endings;
    }

    void joined(WorkerSpec spec) {
        Worker worker = state.pool.join(spec);
        worker.quarantine(state.faults.quarantined(spec.id()));
        if (worker.overCommitted()) {
            vacate(worker);
        }
        opened(worker);
    }

    void leaving(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            worker.leave();
            vacate(worker);
        });
    }

    void inDoubt(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            worker.doubt();
            vacate(worker);
        });
    }

    void lost(WorkerId id) {
        state.pool.find(id).ifPresent(worker -> {
            endings.workerLost(worker);
            worker.leave();
            vacate(worker);
            dropUnits(worker);
            state.pool.lose(worker);
        });
    }

    /** Quarantines the workers on which several different jobs failed. */
    void quarantineSuspects() {
        while (!state.suspects.isEmpty()) {
            WorkerId id = state.suspects.pollFirst();
            state.emit(new Decision.QuarantineWorker(id, Reason.of(ReasonCode.WORKER_FAILS_JOBS)));
            state.pool.find(id).ifPresent(worker -> {
                worker.quarantine(true);
                vacate(worker);
            });
        }
    }

    void probeEnded(WorkerId id, boolean healthy) {
        if (!state.faults.probed(id, healthy, state.nowMs())) {
            return;
        }
        state.pool.find(id).ifPresent(worker -> {
            worker.quarantine(false);
            opened(worker);
        });
    }

    void sendDueProbes() {
        for (WorkerId id : state.faults.dueProbes(this::here, state.nowMs())) {
            state.emit(new Decision.ProbeWorker(id, Reason.of(ReasonCode.WORKER_PROBE_DUE)));
        }
    }

    private boolean here(WorkerId id) {
        return state.pool.find(id).map(Worker::joined).orElse(false);
    }

    /** Reports each guarantee that lost its place and has no other, once. */
    void raiseLossAlarms() {
        if (state.keeper.takeUnplaced()) {
            raiseAlarms(GuaranteeUnit::lost);
        }
    }

    /** Reports each guarantee that has no place and matches, once. */
    void raiseAlarms(Predicate<GuaranteeUnit> matching) {
        TreeSet<WorkspaceId> workspaces = new TreeSet<>();
        for (GuaranteeUnit unit : state.keeper.all()) {
            if (!unit.placed() && !unit.alarmed() && matching.test(unit)) {
                unit.raiseAlarm();
                workspaces.add(unit.workspace());
            }
        }
        for (WorkspaceId workspace : workspaces) {
            state.emit(new Decision.GuaranteeLost(workspace, Reason.of(ReasonCode.GUARANTEE_SHAPE_LOST)));
        }
    }

    private void opened(Worker worker) {
        state.keeper.placeAround(worker);
        state.capacityGrew();
    }

    /** Cancels the claims on a worker that accepts no new work and moves its guarantees elsewhere. */
    private void vacate(Worker worker) {
        for (Claim claim : List.copyOf(state.claims)) {
            if (claim.uses(worker)) {
                starter.abandon(claim);
                waiting.add(claim.job());
            }
        }
        state.keeper.vacate(worker);
    }

    /** Moves the guarantees in full use off a lost worker; their attempts have been requested to stop. */
    private void dropUnits(Worker worker) {
        List.copyOf(worker.units()).forEach(state.keeper::reposition);
    }
}
