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

    private static final long TICK_MS = 200;
    private static final long READ_MS = 100;
    private static final long LIST_MS = 1000;

    private final String name;
    private final SessionRunner runner;
    private final EventQueue queue;
    private final NodeMachine machine;
    private final LedgerDocumentFold documentFold = new LedgerDocumentFold();
    private final List<NodeInput> held = new ArrayList<>();
    private final Map<Long, Consumer<NodeReply>> open = new TreeMap<>();
    private final Map<String, TaskState> seen = new TreeMap<>();
    private long pausedUntilMs;
    private long readOffset;
    private boolean up = true;

    GoldenNode(int index, SessionRunner runner) {
        this.name = "n" + index;
        this.runner = runner;
        this.queue = runner.queue();
        this.machine = new NodeMachine(
                NodeSettings.defaults(new NodeId(name), index), documentFold, () -> new GuaranteeScheduler());
    }

    void start() {
        tick();
        read();
        list();
    }

    String name() {
        return name;
    }

    boolean up() {
        return up;
    }

    LedgerDocumentFold documentFold() {
        return documentFold;
    }

    boolean schedules() {
        return up && machine.schedules();
    }

    /** Returns the number of requests without a reply. */
    int open() {
        return open.size();
    }

    /** Queues all inputs for a period in ms, as a paused process does. */
    void pause(long forMs) {
        pausedUntilMs = queue.nowMs() + forMs;
        queue.at(pausedUntilMs, this::wake);
    }

    void request(long requestId, NodeInput input, Consumer<NodeReply> answer) {
        open.put(requestId, answer);
        deliver(input);
    }

    void deliver(NodeInput input) {
        if (!up) {
            return;
        }
        if (queue.nowMs() < pausedUntilMs) {
            held.add(input);
            return;
        }
        machine.handle(input, runner.clockMs()).forEach(this::carryOut);
    }

    /** Handles a worker's reply and writes the parts whose state changed for this node to the transcript. */
    void replied(NodeInput.WorkerReplied replied) {
        String worker = replied.worker().value();
        replied.reply().rejection().ifPresent(rejection -> runner.transcript()
                .exchange(
                        queue.nowMs(),
                        worker,
                        name,
                        "rejected",
                        "code=" + rejection + " epoch=" + replied.epoch() + " fence="
                                + replied.reply().fence()));
        for (TaskReport report : replied.reply().tasks()) {
            if (seen.put(report.task().toString(), report.state()) != report.state()) {
                String details = "attempt=" + report.task().attempt() + " state=" + report.state();
                runner.transcript()
                        .part(
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

    private void wake() {
        List<NodeInput> inputs = List.copyOf(held);
        held.clear();
        inputs.forEach(this::deliver);
    }

    private void carryOut(NodeEffect effect) {
        if (effect instanceof NodeEffect.Append append) {
            long first = append.batch().get(0).id().sequence();
            runner.log()
                    .append(
                            name,
                            append.batch(),
                            done -> deliver(
                                    done ? new NodeInput.AppendDone(first) : new NodeInput.AppendFailed(first)));
        } else if (effect instanceof NodeEffect.Command command) {
            command(command);
        } else if (effect instanceof NodeEffect.Reply reply) {
            Consumer<NodeReply> answer = open.remove(reply.requestId());
            if (answer != null) {
                answer.accept(reply.reply());
            }
        } else if (effect instanceof NodeEffect.Report report) {
            report(report.event());
        } else {
            runner.transcript().exchange(queue.nowMs(), name, "operator", "drained", "open-requests=" + open.size());
            runner.observed().drained(name, open.size());
            up = false;
        }
    }

    private void report(NodeEvent event) {
        runner.transcript().exchange(queue.nowMs(), name, "operator", Wording.kind(event), Wording.event(event));
        if (event instanceof NodeEvent.DocumentInForce document) {
            runner.observed().inForce(name, document.version(), queue.nowMs());
        }
    }

    private void command(NodeEffect.Command effect) {
        WorkerCommand command = effect.command();
        String worker = effect.worker().value();
        if (command instanceof WorkerCommand.Prepare prepare) {
            part(
                    command,
                    "attempt=" + prepare.task().attempt(),
                    worker,
                    prepare.task().part());
        } else if (command instanceof WorkerCommand.Release release) {
            part(
                    command,
                    "attempt=" + release.task().attempt(),
                    worker,
                    release.task().part());
        } else if (command instanceof WorkerCommand.Stop stop) {
            String details = "attempt=" + stop.task().attempt() + " mode=" + stop.mode();
            part(command, details, worker, stop.task().part());
        } else if (command instanceof WorkerCommand.Forget forget) {
            part(
                    command,
                    "attempt=" + forget.task().attempt(),
                    worker,
                    forget.task().part());
        } else {
            runner.transcript().count(name, "renewals");
        }
        runner.command(this, effect);
    }

    private void part(WorkerCommand command, String details, String worker, int part) {
        String full = details + " epoch=" + command.epoch();
        runner.transcript().part(queue.nowMs(), name, "workers", Wording.kind(command), full, worker, part);
    }

    private void tick() {
        every(TICK_MS, this::tick, () -> deliver(new NodeInput.Tick()));
    }

    private void list() {
        every(LIST_MS, this::list, () -> deliver(runner.listed()));
    }

    private void every(long intervalMs, Runnable again, Runnable action) {
        if (!up) {
            return;
        }
        if (queue.nowMs() >= pausedUntilMs) {
            action.run();
        }
        queue.in(intervalMs, again);
    }

    private void read() {
        if (!up) {
            return;
        }
        if (queue.nowMs() < pausedUntilMs) {
            queue.at(pausedUntilMs, this::read);
            return;
        }
        runner.transcript().count(name, "log-polls");
        runner.log().read(readOffset, this::took, () -> queue.in(READ_MS, this::read));
    }

    private void took(LogStore.Slice slice) {
        long offset = slice.startOffset();
        for (byte[] stored : slice.records()) {
            deliver(new NodeInput.RecordRead(offset, runner.log().decode(stored)));
            offset++;
        }
        readOffset = offset;
        if (offset >= slice.nextOffset()) {
            deliver(new NodeInput.LogEndReached(slice.nextOffset()));
        }
        queue.in(READ_MS, this::read);
    }
}
