package org.fuchsiawinch.explore;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.protocol.worker.WorkerReply;

/** Connections between nodes and workers, which lose, delay and double commands, or go silent. Not thread-safe. */
final class Commands {

    /** Time in ms without an answer after which a node replaces a connection. */
    static final long REPLACE_AFTER_MS = 3000;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<Link, Long> cutUntilMs = new HashMap<>();
    private final Set<Link> silent = new HashSet<>();
    private long faultyUntilMs;
    private ScheduleEvent.CommandFaults faults = new ScheduleEvent.CommandFaults(0, 0, 0, 0, 0);

    Commands(EventLoop loop, SplittableRandom random) {
        this.loop = loop;
        this.random = random;
    }

    void faults(ScheduleEvent.CommandFaults value) {
        faults = value;
        faultyUntilMs = loop.nowMs() + value.forMs();
    }

    void cut(String node, int worker, long forMs) {
        cutUntilMs.merge(new Link(node, worker), loop.nowMs() + forMs, Math::max);
    }

    void silence(String node, int worker) {
        Link link = new Link(node, worker);
        if (silent.add(link)) {
            loop.in(REPLACE_AFTER_MS, () -> silent.remove(link));
        }
    }

    void send(String node, int index, SimWorker worker, WorkerCommand command, Consumer<WorkerReply> answer) {
        Link link = new Link(node, index);
        boolean faulty = loop.nowMs() < faultyUntilMs;
        int copies = faulty && random.nextInt(100) < faults.doubledPercent() ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (broken(link) || (faulty && random.nextInt(100) < faults.lostPercent())) {
                continue;
            }
            int incarnation = worker.incarnation();
            loop.in(delayMs(), () -> carryOut(link, worker, incarnation, command, answer));
        }
    }

    private void carryOut(
            Link link, SimWorker worker, int incarnation, WorkerCommand command, Consumer<WorkerReply> answer) {
        if (!worker.up() || worker.incarnation() != incarnation) {
            return;
        }
        WorkerReply reply = worker.handle(command, loop.nowMs());
        boolean faulty = loop.nowMs() < faultyUntilMs;
        if (broken(link) || (faulty && random.nextInt(100) < faults.lostPercent())) {
            return;
        }
        loop.in(delayMs(), () -> answer.accept(reply));
    }

    private boolean broken(Link link) {
        return silent.contains(link) || loop.nowMs() < cutUntilMs.getOrDefault(link, 0L);
    }

    private long delayMs() {
        long extra = loop.nowMs() < faultyUntilMs ? random.nextLong(faults.delayMs() + 1) : 0;
        return 1 + random.nextInt(5) + extra;
    }

    private record Link(String node, int worker) {}
}
