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

/** One node process from its start to its end; feeds its machine and carries out its effects. Not thread-safe. */
final class SimNode {

    private static final long TICK_MS = 200;
    private static final long READ_MS = 100;
    private static final long LIST_MS = 1000;
    private static final long EPOCH_MS = 1_700_000_000_000L;

    private final NodeId id;
    private final World world;
    private final EventLoop loop;
    private final NodeMachine machine;
    private final long clockOffsetMs;
    private final List<NodeInput> queued = new ArrayList<>();
    private final Map<Long, Consumer<NodeReply>> open = new TreeMap<>();
    private long pausedUntilMs;
    private long cutFromLogUntilMs;
    private boolean alive = true;
    private boolean draining;
    private long readOffset;

    SimNode(NodeId id, World world, NodeMachine machine, long clockOffsetMs) {
        this.id = id;
        this.world = world;
        this.loop = world.loop();
        this.machine = machine;
        this.clockOffsetMs = clockOffsetMs;
    }

    void start() {
        world.observe(new Observation.NodeUp(loop.nowMs(), id));
        tick();
        read();
        list();
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

    boolean schedules() {
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
        world.observe(new Observation.NodeImpaired(loop.nowMs(), id, pausedUntilMs));
        loop.at(pausedUntilMs, this::wake);
    }

    void cutFromLog(long forMs) {
        cutFromLogUntilMs = Math.max(cutFromLogUntilMs, loop.nowMs() + forMs);
        world.observe(new Observation.NodeImpaired(loop.nowMs(), id, cutFromLogUntilMs));
    }

    void kill() {
        if (!alive) {
            return;
        }
        if (schedules()) {
            world.observe(new Observation.OwnerDied(loop.nowMs(), id));
        }
        alive = false;
        open.clear();
        world.observe(new Observation.NodeImpaired(loop.nowMs(), id, Long.MAX_VALUE));
    }

    void drain() {
        draining = true;
        deliver(new NodeInput.Drain());
    }

    /** Sends a request; its answer may never come. */
    void request(long requestId, NodeInput input, Consumer<NodeReply> answer) {
        open.put(requestId, answer);
        loop.in(1, () -> deliver(input));
    }

    void deliver(NodeInput input) {
        if (!alive) {
            return;
        }
        if (loop.nowMs() < pausedUntilMs || !queued.isEmpty()) {
            queued.add(input);
            return;
        }
        handle(input);
    }

    private void wake() {
        if (loop.nowMs() < pausedUntilMs) {
            return;
        }
        List<NodeInput> inputs = List.copyOf(queued);
        queued.clear();
        inputs.stream().takeWhile(input -> alive).forEach(this::handle);
    }

    private void handle(NodeInput input) {
        for (NodeEffect effect : machine.handle(input, EPOCH_MS + loop.nowMs() + clockOffsetMs)) {
            carryOut(effect);
        }
    }

    private void carryOut(NodeEffect effect) {
        if (effect instanceof NodeEffect.Append append) {
            long first = append.batch().get(0).id().sequence();
            world.log()
                    .append(
                            append.batch(),
                            loop.nowMs() >= cutFromLogUntilMs,
                            done -> deliver(
                                    done ? new NodeInput.AppendDone(first) : new NodeInput.AppendFailed(first)));
        } else if (effect instanceof NodeEffect.Command command) {
            world.command(this, command);
        } else if (effect instanceof NodeEffect.Reply reply) {
            Consumer<NodeReply> answer = open.remove(reply.requestId());
            if (answer != null) {
                loop.in(1, () -> answer.accept(reply.reply()));
            }
        } else if (effect instanceof NodeEffect.Report report) {
            observe(report.event());
        } else if (effect instanceof NodeEffect.Drained) {
            world.observe(new Observation.Drained(loop.nowMs(), id, open.size()));
            alive = false;
            world.observe(new Observation.NodeImpaired(loop.nowMs(), id, Long.MAX_VALUE));
            world.replace(this, 500);
        }
    }

    private void observe(NodeEvent event) {
        if (event instanceof NodeEvent.DocumentInForce document) {
            machine.fold()
                    .document()
                    .inForce()
                    .filter(inForce -> inForce.version() == document.version())
                    .ifPresent(inForce -> world.observe(
                            new Observation.DocumentInForce(loop.nowMs(), id, document.version(), inForce.text())));
        } else if (event instanceof NodeEvent.CellActive) {
            world.observe(new Observation.CellActive(loop.nowMs(), id));
        }
        world.trace(id, event);
    }

    private void tick() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() >= pausedUntilMs) {
            deliver(new NodeInput.Tick());
        }
        loop.in(TICK_MS, this::tick);
    }

    private void read() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() < pausedUntilMs) {
            loop.at(pausedUntilMs, this::read);
            return;
        }
        world.log().read(readOffset, loop.nowMs() >= cutFromLogUntilMs, this::took, () -> loop.in(READ_MS, this::read));
    }

    private void took(LogStore.Slice slice) {
        long offset = slice.startOffset();
        if (offset > readOffset) {
            deliver(new NodeInput.LogGap(offset));
        }
        for (byte[] stored : slice.records()) {
            deliver(new NodeInput.RecordRead(offset, world.log().record(stored)));
            offset++;
        }
        readOffset = offset;
        if (offset >= slice.nextOffset()) {
            deliver(new NodeInput.LogEndReached(slice.nextOffset()));
        }
        loop.in(READ_MS, this::read);
    }

    private void list() {
        if (!alive) {
            return;
        }
        if (loop.nowMs() >= pausedUntilMs) {
            deliver(world.listedWorkers());
        }
        loop.in(LIST_MS, this::list);
    }
}
