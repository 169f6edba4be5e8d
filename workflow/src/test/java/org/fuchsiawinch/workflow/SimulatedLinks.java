package org.fuchsiawinch.workflow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.StartOutcome;

/** Simulated connections of the nodes to workers and store, which lose, delay and reorder calls and answers. */
final class SimulatedLinks {

    /** Time in ms after which a call without an answer has failed, in addition to its wait. */
    static final long TIMEOUT_MS = 700;

    private static final int MIN_LATE_MS = 2000;
    private static final int LATE_SPREAD_MS = 10_000;
    private static final int REORDER_SPREAD_MS = 500;

    /** Share of the calls to workers that are carried out seconds later and not answered. */
    double late;

    double lostCalls;
    double lostAnswers;
    double reordered;
    double lateAppends;
    double lostAppendAnswers;

    /** Workers by node whose calls do not arrive, as node and worker id. */
    final Set<String> cutCalls = new HashSet<>();

    /** Workers by node whose answers do not arrive, as node and worker id. */
    final Set<String> cutAnswers = new HashSet<>();

    /** Delays in ms of the next start orders, which are carried out without an answer; 0 for a prompt one. */
    final Deque<Long> nextStartDelays = new ArrayDeque<>();

    /** Delays in ms of the next renewals that acknowledge ends, which are carried out without an answer. */
    final Deque<Long> nextAcknowledgementDelays = new ArrayDeque<>();

    private final FaultSimulation simulation;
    private final Random random;

    SimulatedLinks(FaultSimulation simulation, Random random) {
        this.simulation = simulation;
        this.random = random;
    }

    static String link(SimulatedNode node, WorkerId worker) {
        return node.name + ">" + worker;
    }

    /** Sends an order to a worker; the session gets exactly one input for it. */
    void send(SimulatedNode node, SimulatedNode.Session session, long epoch, OwnerEffect order) {
        long sentMs = node.nowMs();
        if (order instanceof OwnerEffect.Renew renew) {
            call(
                    new Call(node, session, renew.worker(), renew.waitMs(), order),
                    (worker, answer) -> worker.renew(epoch, renew, sentMs, answer),
                    new OwnerInput.RenewalFailed(renew.worker(), sentMs, false, "unanswered"),
                    new OwnerInput.RenewalFailed(renew.worker(), sentMs, false, "refused"));
        } else if (order instanceof OwnerEffect.Start start) {
            call(
                    new Call(node, session, start.worker(), 0, order),
                    (worker, answer) -> answer.accept(
                            new OwnerInput.StartAnswered(start.worker(), start.run(), worker.start(epoch, start))),
                    new OwnerInput.StartAnswered(start.worker(), start.run(), StartOutcome.UNANSWERED),
                    new OwnerInput.StartAnswered(start.worker(), start.run(), StartOutcome.REJECTED));
        } else if (order instanceof OwnerEffect.Stop stop) {
            call(
                    new Call(node, session, stop.worker(), 0, order),
                    (worker, answer) -> answer.accept(
                            new OwnerInput.StopAnswered(stop.worker(), stop.run(), worker.stop(epoch, stop))),
                    new OwnerInput.StopAnswered(stop.worker(), stop.run(), false),
                    new OwnerInput.StopAnswered(stop.worker(), stop.run(), false));
        }
    }

    private record Call(
            SimulatedNode node, SimulatedNode.Session session, WorkerId worker, long waitMs, OwnerEffect order) {}

    /** Execution of an order at a worker, which gives its answer at once or later. */
    private interface Execution {
        void execute(SimulatedWorker worker, Consumer<OwnerInput> answer);
    }

    private void call(Call call, Execution execution, OwnerInput unanswered, OwnerInput refused) {
        boolean[] answered = {false};
        Consumer<OwnerInput> answerOnce = input -> {
            if (!answered[0]) {
                answered[0] = true;
                call.session.deliver(input);
            }
        };
        simulation.schedule(call.waitMs + TIMEOUT_MS, () -> answerOnce.accept(unanswered));
        String link = link(call.node, call.worker);
        if (cutCalls.contains(link) || random.nextDouble() < lostCalls) {
            return;
        }
        SimulatedWorker worker = simulation.workers.get(call.worker);
        long lateMs = lateMs(call.order);
        if (lateMs > 0) {
            simulation.schedule(lateMs, () -> {
                if (worker.up) {
                    simulation.log(worker.id + " carries out late by " + lateMs + " from " + call.node.name + ": "
                            + call.order);
                    execution.execute(worker, input -> {});
                }
            });
            return;
        }
        simulation.schedule(latencyMs(), () -> {
            if (!worker.up) {
                simulation.schedule(1, () -> answerOnce.accept(refused));
                return;
            }
            execution.execute(worker, input -> {
                if (!cutAnswers.contains(link) && random.nextDouble() >= lostAnswers) {
                    simulation.schedule(latencyMs(), () -> answerOnce.accept(input));
                }
            });
        });
    }

    private long lateMs(OwnerEffect order) {
        if (order instanceof OwnerEffect.Start && !nextStartDelays.isEmpty()) {
            return nextStartDelays.remove();
        }
        if (order instanceof OwnerEffect.Renew renew
                && renew.acknowledged() > 0
                && !nextAcknowledgementDelays.isEmpty()) {
            return nextAcknowledgementDelays.remove();
        }
        return random.nextDouble() < late ? MIN_LATE_MS + random.nextInt(LATE_SPREAD_MS) : 0;
    }

    private long latencyMs() {
        return 1 + (random.nextDouble() < reordered ? random.nextInt(REORDER_SPREAD_MS) : random.nextInt(3));
    }

    /** Sends an append to the store, which may carry it out late, or carry it out without an answer. */
    void append(BooleanSupplier append, Consumer<Boolean> answer) {
        boolean late = random.nextDouble() < lateAppends;
        simulation.schedule(late ? 1000 + random.nextInt(4000) : 3, () -> {
            if (simulation.store.down) {
                return;
            }
            boolean valid = append.getAsBoolean();
            if (!late && random.nextDouble() >= lostAppendAnswers) {
                answer.accept(valid);
            }
        });
    }
}
