package org.fuchsiawinch.explore;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/**
 * Connections between nodes and workers, which lose, delay and duplicate commands, are cut for a time or go silent. Not
 * thread-safe.
 */
final class WorkerConnections {

    /** Time without an answer after which a node replaces a connection, in ms. */
    static final long REPLACE_AFTER_MS = 3000;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<Connection, Long> disconnectedUntilMs = new HashMap<>();
    private final Set<Connection> silent = new HashSet<>();
    private long faultyUntilMs;
    private ScheduleEvent.CommandFaults faults = new ScheduleEvent.CommandFaults(0, 0, 0, 0, 0);

    WorkerConnections(EventLoop loop, SplittableRandom random) {
        this.loop = loop;
        this.random = random;
    }

    void faults(ScheduleEvent.CommandFaults value) {
        faults = value;
        faultyUntilMs = loop.nowMs() + value.forMs();
    }

    void disconnect(String node, int worker, long forMs) {
        disconnectedUntilMs.merge(new Connection(node, worker), loop.nowMs() + forMs, Math::max);
    }

    void silence(String node, int worker) {
        Connection connection = new Connection(node, worker);
        if (silent.add(connection)) {
            loop.scheduleAfter(REPLACE_AFTER_MS, () -> silent.remove(connection));
        }
    }

    /** Sends a command; {@code answer} is called once for each answer that arrives, if any. */
    void send(String node, int index, SimWorker worker, WorkerCommand command, Consumer<WorkerReply> answer) {
        Connection connection = new Connection(node, index);
        boolean faulty = loop.nowMs() < faultyUntilMs;
        int copies = faulty && random.nextInt(100) < faults.doubledPercent() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (disconnected(connection) || (faulty && random.nextInt(100) < faults.lostPercent())) {
                continue;
            }
            int incarnation = worker.incarnation();
            loop.scheduleAfter(delayMs(), () -> execute(connection, worker, incarnation, command, answer));
        }
    }

    private void execute(
            Connection connection,
            SimWorker worker,
            int incarnation,
            WorkerCommand command,
            Consumer<WorkerReply> answer) {
        if (!worker.up() || worker.incarnation() != incarnation) {
            return;
        }
        WorkerReply reply = worker.handle(command, loop.nowMs());
        boolean faulty = loop.nowMs() < faultyUntilMs;
        if (disconnected(connection) || (faulty && random.nextInt(100) < faults.lostPercent())) {
            return;
        }
        loop.scheduleAfter(delayMs(), () -> answer.accept(reply));
    }

    private boolean disconnected(Connection connection) {
        return silent.contains(connection) || loop.nowMs() < disconnectedUntilMs.getOrDefault(connection, 0L);
    }

    private long delayMs() {
        long extra = loop.nowMs() < faultyUntilMs ? random.nextLong(faults.delayMs() + 1) : 0;
        return 1 + random.nextInt(5) + extra;
    }

    private record Connection(String node, int worker) {}
}
