package org.fuchsiawinch.golden;

import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;
import org.fuchsiawinch.standin.worker.PayloadRunPlanner;
import org.fuchsiawinch.standin.worker.RunPlanner;
import org.fuchsiawinch.standin.worker.WorkerMachine;

/** Simulated worker; records the parts that it begins to run. Not thread-safe. */
final class GoldenWorker {

    private final SessionRunner runner;
    private final WorkerSpec spec;
    private final RunPlanner runPlanner = new PayloadRunPlanner();
    private final WorkerMachine machine;

    GoldenWorker(WorkerSpec spec, SessionRunner runner) {
        this.spec = spec;
        this.runner = runner;
        this.machine = new WorkerMachine(spec, this::planRun);
    }

    WorkerSpec spec() {
        return spec;
    }

    WorkerReply handle(WorkerCommand command) {
        return machine.handle(command, runner.clockMs());
    }

    private RunPlanner.PlannedRun planRun(WorkerCommand.Prepare part) {
        runner.observations().recordStart(part.task(), runner.queue().nowMs());
        return runPlanner.plan(part);
    }
}
