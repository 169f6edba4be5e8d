package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fuchsiawinch.core.GuaranteeScheduler;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.fold.LedgerDocumentFold;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.standin.log.LogStore;

/** Simulated node process: feeds inputs to its state machine and executes the resulting effects. Not thread-safe. */
final class GoldenNode {

    private static final long TICK_INTERVAL_MS = 200;
    private static final long READ_INTERVAL_MS = 100;
    private static final long LIST_INTERVAL_MS = 1000;

    private final String name;
    private final SessionRunner runner;
    private final EventQueue queue;
    private final NodeMachine machine;
    private final LedgerDocumentFold documentFold = new LedgerDocumentFold();
    private final List<NodeInput> heldInputs = new ArrayList<>();
    private final Map<Long, Consumer<NodeReply>> openRequests = new TreeMap<>();
    private final Map<String, TaskState> reportedStates = new TreeMap<>();
    private long pausedUntilMs;
    private long readOffset;
    private boolean running = true;

    GoldenNode(int index, SessionRunner runner) {
        this.name = "n" + index;
        this.runner = runner;
        this.queue = runner.queue();
        this.machine = new NodeMachine(
                NodeSettings.defaults(new NodeId(name), index), documentFold, () -> new GuaranteeScheduler());
    }

    /** Starts the ticks, the polls of the log and the reads of the list of workers. */
    void start() {
        tick();
        pollLog();
        listWorkers();
    }

    String name() {
        return name;
    }

    boolean running() {
        return running;
    }

    LedgerDocumentFold documentFold() {
        return documentFold;
    }

    boolean ownsCell() {
        return running && machine.schedules();
    }

    /** Returns the number of requests without a reply. */
    int openRequests() {
        return openRequests.size();
    }

    /** Holds back all inputs for a period in ms, as a paused process does, and then handles them in order. */
    void pause(long forMs) {
        pausedUntilMs = queue.nowMs() + forMs;
        queue.scheduleAt(pausedUntilMs, this::resume);
    }

    /** Delivers a request; its reply is passed to {@code answer}, unless the node is drained before it replies. */
    void sendRequest(long requestId, NodeInput input, Consumer<NodeReply> answer) {
        openRequests.put(requestId, answer);
        deliver(input);
    }

    /** Handles an input; one that arrives during a pause is held back, one that arrives after the drain is dropped. */
    void deliver(NodeInput input) {
        if (!running) {
            return;
        }
        if (queue.nowMs() < pausedUntilMs) {
            heldInputs.add(input);
            return;
        }
        machine.handle(input, runner.clockMs()).forEach(this::execute);
    }

    /**
     * Handles a worker's reply. Adds to the transcript its rejection, if any, and the parts whose state differs from
     * the last one reported to this node.
     */
    void handleWorkerReply(NodeInput.WorkerReplied replied) {
        String worker = replied.worker().value();
        replied.reply().rejection().ifPresent(rejection -> runner.transcript()
                .addExchange(
                        queue.nowMs(),
                        worker,
                        name,
                        "rejected",
                        "code=" + rejection + " epoch=" + replied.epoch() + " fence="
                                + replied.reply().fence()));
        for (TaskReport report : replied.reply().tasks()) {
            if (reportedStates.put(report.task().toString(), report.state()) != report.state()) {
                String details = "attempt=" + report.task().attempt() + " state=" + report.state();
                runner.transcript()
                        .addPart(
                                queue.nowMs(),
                                "workers",
                                name,
                                "task-report",
                                details,
                                worker,
                                report.task().part());
            }
        }
        deliver(replied);
    }

    private void resume() {
        List<NodeInput> inputs = List.copyOf(heldInputs);
        heldInputs.clear();
        inputs.forEach(this::deliver);
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.Append append) {
            long first = append.batch().get(0).id().sequence();
            runner.log()
                    .append(
                            name,
                            append.batch(),
                            acknowledged -> deliver(
                                    acknowledged
                                            ? new NodeInput.AppendDone(first)
                                            : new NodeInput.AppendFailed(first)));
        } else if (effect instanceof NodeEffect.Command command) {
            sendCommand(command);
        } else if (effect instanceof NodeEffect.Reply reply) {
            Consumer<NodeReply> answer = openRequests.remove(reply.requestId());
            if (answer != null) {
                answer.accept(reply.reply());
            }
        } else if (effect instanceof NodeEffect.Report report) {
            report(report.event());
        } else {
            runner.transcript()
                    .addExchange(queue.nowMs(), name, "operator", "drained", "open-requests=" + openRequests.size());
            runner.observations().recordDrained(name, openRequests.size());
            running = false;
        }
    }

    private void report(NodeEvent event) {
        runner.transcript()
                .addExchange(
                        queue.nowMs(), name, "operator", MessageFormatter.kind(event), MessageFormatter.event(event));
        if (event instanceof NodeEvent.DocumentInForce document) {
            runner.observations().recordVersion(name, document.version(), queue.nowMs());
        }
    }

    private void sendCommand(NodeEffect.Command effect) {
        WorkerCommand command = effect.command();
        String worker = effect.worker().value();
        if (command instanceof WorkerCommand.Prepare prepare) {
            addPartCommand(
                    command,
                    "attempt=" + prepare.task().attempt(),
                    worker,
                    prepare.task().part());
        } else if (command instanceof WorkerCommand.Release release) {
            addPartCommand(
                    command,
                    "attempt=" + release.task().attempt(),
                    worker,
                    release.task().part());
        } else if (command instanceof WorkerCommand.Stop stop) {
            String details = "attempt=" + stop.task().attempt() + " mode=" + stop.mode();
            addPartCommand(command, details, worker, stop.task().part());
        } else if (command instanceof WorkerCommand.Forget forget) {
            addPartCommand(
                    command,
                    "attempt=" + forget.task().attempt(),
                    worker,
                    forget.task().part());
        } else {
            runner.transcript().count(name, "renewals");
        }
        runner.sendCommand(this, effect);
    }

    private void addPartCommand(WorkerCommand command, String details, String worker, int part) {
        String allDetails = details + " epoch=" + command.epoch();
        runner.transcript()
                .addPart(queue.nowMs(), name, "workers", MessageFormatter.kind(command), allDetails, worker, part);
    }

    private void tick() {
        repeat(TICK_INTERVAL_MS, this::tick, () -> deliver(new NodeInput.Tick()));
    }

    private void listWorkers() {
        repeat(LIST_INTERVAL_MS, this::listWorkers, () -> deliver(runner.workerList()));
    }

    private void repeat(long intervalMs, Runnable nextRound, Runnable action) {
        if (!running) {
            return;
        }
        if (queue.nowMs() >= pausedUntilMs) {
            action.run();
        }
        queue.scheduleAfter(intervalMs, nextRound);
    }

    private void pollLog() {
        if (!running) {
            return;
        }
        if (queue.nowMs() < pausedUntilMs) {
            queue.scheduleAt(pausedUntilMs, this::pollLog);
            return;
        }
        runner.transcript().count(name, "log-polls");
        runner.log().read(readOffset, this::handleSlice, () -> queue.scheduleAfter(READ_INTERVAL_MS, this::pollLog));
    }

    private void handleSlice(LogStore.Slice slice) {
        long offset = slice.startOffset();
        for (byte[] stored : slice.records()) {
            deliver(new NodeInput.RecordRead(offset, runner.log().decode(stored)));
            offset++;
        }
        readOffset = offset;
        if (offset >= slice.nextOffset()) {
            deliver(new NodeInput.LogEndReached(slice.nextOffset()));
        }
        queue.scheduleAfter(READ_INTERVAL_MS, this::pollLog);
    }
}
