package org.fuchsiawinch.standin.worker;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * State machine of a stand-in worker; does no I/O and takes the present time as an argument. It starts parts even if
 * they exceed its free resources, so that overcommitment by a scheduler shows in the reported usage. It keeps a fence
 * (the highest epoch seen) for each cell and stops parts whose lease has expired. Not thread-safe.
 */
public final class WorkerMachine {

    private final WorkerSpec spec;
    private final RunPlanner runPlanner;
    private final Map<CellId, Long> fences = new HashMap<>();
    // Sorted by the text of the id, so that reports have a fixed order.
    private final Map<TaskId, Part> parts = new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    private final boolean fenced;
    private boolean leaving;

    /**
     * Creates a fenced worker without parts.
     *
     * @param spec the worker's specification
     * @param runPlanner plans the runs of released parts
     */
    public WorkerMachine(WorkerSpec spec, RunPlanner runPlanner) {
        this(spec, runPlanner, true);
    }

    /**
     * Creates a worker without parts.
     *
     * @param spec the worker's specification
     * @param runPlanner plans the runs of released parts
     * @param fenced whether commands with an epoch below the highest one seen are rejected; false only in tests
     */
    public WorkerMachine(WorkerSpec spec, RunPlanner runPlanner, boolean fenced) {
        this.spec = spec;
        this.runPlanner = runPlanner;
        this.fenced = fenced;
    }

    /**
     * Returns the worker's specification.
     *
     * @return the specification
     */
    public WorkerSpec spec() {
        return spec;
    }

    /**
     * Sets whether the worker is about to leave.
     *
     * @param value true if new parts are rejected from now on
     */
    public void leaving(boolean value) {
        leaving = value;
    }

    /**
     * Returns whether the worker is about to leave.
     *
     * @return true if new parts are rejected
     */
    public boolean leaving() {
        return leaving;
    }

    /**
     * Executes a command.
     *
     * @param command the command
     * @param nowMs present time in ms since the Unix epoch, by the worker's clock
     * @return the rejection, if any, and the state of all parts
     */
    public WorkerReply handle(WorkerCommand command, long nowMs) {
        advance(nowMs);
        Optional<WorkerReply.Rejection> rejection = execute(command, nowMs);
        // Ends a run of 0 ms that the command started, and a part that it prepared with an expired lease.
        advance(nowMs);
        return new WorkerReply(rejection, fences.getOrDefault(command.cell(), 0L), leaving, nowMs, reports());
    }

    /**
     * Ends the parts whose run is over or whose lease has expired.
     *
     * @param nowMs present time in ms since the Unix epoch, by the worker's clock
     */
    public void advance(long nowMs) {
        parts.values().forEach(part -> part.advance(nowMs));
    }

    /**
     * Returns the state of all parts, ended ones included until they are forgotten.
     *
     * @return one report for each part
     */
    public List<TaskReport> reports() {
        return parts.values().stream().map(Part::report).toList();
    }

    /**
     * Returns the sum of the resources granted to the parts that have not ended, whatever their runs use.
     *
     * @return the granted resources
     */
    public Resources used() {
        return parts.values().stream()
                .filter(part -> !part.state.ended())
                .map(part -> part.prepare.map(WorkerCommand.Prepare::resources).orElse(Resources.NONE))
                .reduce(Resources.NONE, Resources::plus);
    }

    private Optional<WorkerReply.Rejection> execute(WorkerCommand command, long nowMs) {
        if (fenced && command.epoch() < fences.getOrDefault(command.cell(), 0L)) {
            return Optional.of(WorkerReply.Rejection.STALE_EPOCH);
        }
        fences.merge(command.cell(), command.epoch(), Math::max);
        if (command instanceof WorkerCommand.Prepare prepare) {
            return prepare(prepare, nowMs);
        }
        if (command instanceof WorkerCommand.Release release) {
            return release(release, nowMs);
        }
        if (command instanceof WorkerCommand.Stop stop) {
            return stop(stop, nowMs);
        }
        if (command instanceof WorkerCommand.Forget forget) {
            return forget(forget);
        }
        WorkerCommand.Renew renew = (WorkerCommand.Renew) command;
        parts.values().forEach(part -> part.renew(renew.leaseUntilMs()));
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> prepare(WorkerCommand.Prepare prepare, long nowMs) {
        Part known = parts.get(prepare.task());
        if (known != null) {
            return known.state == TaskState.PREPARED
                    ? Optional.empty()
                    : Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        if (nowMs > prepare.startByMs()) {
            return Optional.of(WorkerReply.Rejection.TOO_LATE);
        }
        if (leaving) {
            return Optional.of(WorkerReply.Rejection.LEAVING);
        }
        parts.put(prepare.task(), new Part(prepare.task(), Optional.of(prepare), prepare.leaseUntilMs()));
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> release(WorkerCommand.Release release, long nowMs) {
        Part part = parts.get(release.task());
        if (part == null) {
            return Optional.of(WorkerReply.Rejection.UNKNOWN_TASK);
        }
        if (part.state == TaskState.RUNNING || part.state == TaskState.COMPLETED) {
            return Optional.empty();
        }
        if (part.state != TaskState.PREPARED || part.prepare.isEmpty()) {
            return Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        part.start(runPlanner.plan(part.prepare.get()), spec.speed(), nowMs);
        part.renew(release.leaseUntilMs());
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> stop(WorkerCommand.Stop stop, long nowMs) {
        Part part = parts.computeIfAbsent(stop.task(), task -> new Part(task, Optional.empty(), nowMs));
        if (part.prepare.isEmpty()) {
            part.state = TaskState.STOPPED;
        }
        if (!part.state.ended()) {
            boolean checkpoint = stop.mode() == StopMode.CHECKPOINT && part.state == TaskState.RUNNING;
            part.state = checkpoint ? TaskState.CHECKPOINTED : TaskState.STOPPED;
        }
        return Optional.empty();
    }

    private Optional<WorkerReply.Rejection> forget(WorkerCommand.Forget forget) {
        Part part = parts.get(forget.task());
        if (part != null && !part.state.ended()) {
            return Optional.of(WorkerReply.Rejection.WRONG_STATE);
        }
        parts.remove(forget.task());
        return Optional.empty();
    }

    /** State of one part of a gang; without a prepare command it records that the part was stopped in advance. */
    private static final class Part {
        private final TaskId task;
        private final Optional<WorkerCommand.Prepare> prepare;
        private long leaseUntilMs;
        private TaskState state = TaskState.PREPARED;
        private Optional<RunPlanner.PlannedRun> plannedRun = Optional.empty();
        private long endMs = Long.MAX_VALUE;

        private Part(TaskId task, Optional<WorkerCommand.Prepare> prepare, long leaseUntilMs) {
            this.task = task;
            this.prepare = prepare;
            this.leaseUntilMs = leaseUntilMs;
        }

        private void start(RunPlanner.PlannedRun planned, double speed, long nowMs) {
            plannedRun = Optional.of(planned);
            state = TaskState.RUNNING;
            endMs = nowMs + Math.round(planned.runMs() / speed);
        }

        private void renew(long untilMs) {
            leaseUntilMs = Math.max(leaseUntilMs, untilMs);
        }

        private void advance(long nowMs) {
            if (state.ended()) {
                return;
            }
            // A run whose end lies after the lease is stopped, even without a call between the two times.
            boolean finished = state == TaskState.RUNNING && nowMs >= endMs && endMs <= leaseUntilMs;
            if (finished) {
                boolean failed =
                        plannedRun.flatMap(RunPlanner.PlannedRun::failure).isPresent();
                state = failed ? TaskState.FAILED : TaskState.COMPLETED;
                return;
            }
            if (nowMs > leaseUntilMs) {
                state = TaskState.STOPPED;
            }
        }

        private TaskReport report() {
            Optional<byte[]> answer =
                    state == TaskState.COMPLETED ? plannedRun.map(RunPlanner.PlannedRun::answer) : Optional.empty();
            Optional<TaskFailure> failure =
                    state == TaskState.FAILED ? plannedRun.flatMap(RunPlanner.PlannedRun::failure) : Optional.empty();
            Resources granted = prepare.map(WorkerCommand.Prepare::resources).orElse(Resources.NONE);
            Resources used = new Resources(
                    granted.cpuMillis(),
                    plannedRun.map(RunPlanner.PlannedRun::memoryMb).orElse(0),
                    granted.accelerators(),
                    granted.slots(),
                    granted.connections());
            return new TaskReport(task, state, used, answer, failure);
        }
    }
}
