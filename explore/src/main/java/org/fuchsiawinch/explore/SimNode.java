package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.standin.log.LogStore;

/** Simulated node process; passes inputs to its state machine and executes the effects. Not thread-safe. */
final class SimNode {

    private static final long TICK_MS = 200;
    private static final long READ_INTERVAL_MS = 100;
    private static final long LIST_INTERVAL_MS = 1000;
    private static final long DRAIN_RESTART_DELAY_MS = 500;
    /** Unix time in ms at virtual time 0. */
    private static final long CLOCK_START_MS = 1_700_000_000_000L;

    private final NodeId id;
    private final Simulation simulation;
    private final EventLoop loop;
    private final NodeMachine machine;
    private final long clockOffsetMs;
    private final List<NodeInput> queuedInputs = new ArrayList<>();
    private final Map<Long, Consumer<NodeReply>> openRequests = new TreeMap<>();
    private long pausedUntilMs;
    private long cutFromLogUntilMs;
    private boolean alive = true;
    private boolean draining;
    private long readOffset;

    SimNode(NodeId id, Simulation simulation, NodeMachine machine, long clockOffsetMs) {
        this.id = id;
        this.simulation = simulation;
        this.loop = simulation.loop();
        this.machine = machine;
        this.clockOffsetMs = clockOffsetMs;
    }

    void start() {
        simulation.observe(new Observation.NodeUp(loop.nowMs(), id));
        tick();
        pollLog();
        pollWorkerList();
    }

    NodeId id() {
        return id;
    }

    boolean alive() {
        return alive;
    }

    boolean draining() {
        return draining;
    }

    boolean ownsCell() {
        return alive && machine.schedules();
    }

    int documentVersion() {
        return machine.fold()
                .document()
                .inForce()
                .map(document -> document.version())
                .orElse(0);
    }

    void pause(long forMs) {
        pausedUntilMs = Math.max(pausedUntilMs, loop.nowMs() + forMs);
        simulation.observe(new Observation.NodeImpaired(loop.nowMs(), id, pausedUntilMs));
        loop.scheduleAt(pausedUntilMs, this::resume);
    }

    void cutFromLog(long forMs) {
        cutFromLogUntilMs = Math.max(cutFromLogUntilMs, loop.nowMs() + forMs);
        simulation.observe(new Observation.NodeImpaired(loop.nowMs(), id, cutFromLogUntilMs));
    }

    void kill() {
        if (!alive) {
            return;
        }
        if (ownsCell()) {
            simulation.observe(new Observation.OwnerDied(loop.nowMs(), id));
        }
        alive = false;
        openRequests.clear();
        simulation.observe(new Observation.NodeImpaired(loop.nowMs(), id, Long.MAX_VALUE));
    }

    void drain() {
        draining = true;
        deliver(new NodeInput.Drain());
    }

    /** Sends a request; {@code answer} is not called if the node is killed or stops first. */
    void request(long requestId, NodeInput input, Consumer<NodeReply> answer) {
        openRequests.put(requestId, answer);
        loop.scheduleAfter(1, () -> deliver(input));
    }

    void deliver(NodeInput input) {
        if (!alive) {
            return;
        }
        if (loop.nowMs() < pausedUntilMs || !queuedInputs.isEmpty()) {
            queuedInputs.add(input);
            return;
        }
        handle(input);
    }

    private void resume() {
        if (loop.nowMs() < pausedUntilMs) {
            return;
        }
        List<NodeInput> inputs = List.copyOf(queuedInputs);
        queuedInputs.clear();
        inputs.stream().takeWhile(input -> alive).forEach(this::handle);
    }

    private void handle(NodeInput input) {
        for (NodeEffect effect : machine.handle(input, CLOCK_START_MS + loop.nowMs() + clockOffsetMs)) {
            execute(effect);
        }
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.Append append) {
            long first = append.batch().get(0).id().sequence();
            simulation
                    .log()
                    .append(
                            append.batch(),
                            loop.nowMs() >= cutFromLogUntilMs,
                            done -> deliver(
                                    done ? new NodeInput.AppendDone(first) : new NodeInput.AppendFailed(first)));
        } else if (effect instanceof NodeEffect.Command command) {
            simulation.command(this, command);
        } else if (effect instanceof NodeEffect.Reply reply) {
            Consumer<NodeReply> answer = openRequests.remove(reply.requestId());
            if (answer != null) {
                loop.scheduleAfter(1, () -> answer.accept(reply.reply()));
            }
        } else if (effect instanceof NodeEffect.Report report) {
            observe(report.event());
        } else if (effect instanceof NodeEffect.Drained) {
            simulation.observe(new Observation.Drained(loop.nowMs(), id, openRequests.size()));
            alive = false;
            simulation.observe(new Observation.NodeImpaired(loop.nowMs(), id, Long.MAX_VALUE));
            simulation.replace(this, DRAIN_RESTART_DELAY_MS);
        }
    }

    private void observe(NodeEvent event) {
        if (event instanceof NodeEvent.DocumentInForce document) {
            machine.fold()
                    .document()
                    .inForce()
                    .filter(inForce -> inForce.version() == document.version())
                    .ifPresent(inForce -> simulation.observe(
                            new Observation.DocumentInForce(loop.nowMs(), id, document.version(), inForce.text())));
        } else if (event instanceof NodeEvent.CellActive) {
            simulation.observe(new Observation.CellActive(loop.nowMs(), id));
        }
        simulation.trace(id, event);
    }

    private void tick() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() >= pausedUntilMs) {
            deliver(new NodeInput.Tick());
        }
        loop.scheduleAfter(TICK_MS, this::tick);
    }

    private void pollLog() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() < pausedUntilMs) {
            loop.scheduleAt(pausedUntilMs, this::pollLog);
            return;
        }
        simulation
                .log()
                .read(
                        readOffset,
                        loop.nowMs() >= cutFromLogUntilMs,
                        this::onSlice,
                        () -> loop.scheduleAfter(READ_INTERVAL_MS, this::pollLog));
    }

    private void onSlice(LogStore.Slice slice) {
        long offset = slice.startOffset();
        if (offset > readOffset) {
            deliver(new NodeInput.LogGap(offset));
        }
        for (byte[] stored : slice.records()) {
            deliver(new NodeInput.RecordRead(offset, simulation.log().decode(stored)));
            offset++;
        }
        readOffset = offset;
        if (offset >= slice.nextOffset()) {
            deliver(new NodeInput.LogEndReached(slice.nextOffset()));
        }
        loop.scheduleAfter(READ_INTERVAL_MS, this::pollLog);
    }

    private void pollWorkerList() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() >= pausedUntilMs) {
            deliver(simulation.listedWorkers());
        }
        loop.scheduleAfter(LIST_INTERVAL_MS, this::pollWorkerList);
    }
}
