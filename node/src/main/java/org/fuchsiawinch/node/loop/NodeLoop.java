package org.fuchsiawinch.node.loop;

import java.util.function.BiFunction;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.runtime.EventLog;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The one thread that owns the node state machine, behind a bounded ring. Publishing is safe from any thread. Runs from
 * {@link #start} to {@link #stop}.
 */
public final class NodeLoop {

    private static final EventLog LOG = new EventLog(NodeLoop.class);

    private final NodeMachine machine;
    private final EffectHandler effects;
    private final LongSupplier clock;
    private final Disruptor<Slot> disruptor;
    private final RingBuffer<Slot> ring;
    private final Timer handled;
    private final Counter failed;

    /**
     * Creates a loop that does not run yet.
     *
     * @param machine the state machine; from now on owned by the loop
     * @param effects carries out effects
     * @param clock present time in ms since the epoch
     * @param ringSize inputs that may wait, a power of two
     * @param metrics takes the loop's measurements
     */
    public NodeLoop(
            NodeMachine machine, EffectHandler effects, LongSupplier clock, int ringSize, MetricRegistry metrics) {
        this.machine = machine;
        this.effects = effects;
        this.clock = clock;
        this.disruptor = new Disruptor<>(
                Slot::new,
                ringSize,
                runnable -> new Thread(runnable, "node-loop"),
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        disruptor.handleEventsWith(this::run);
        this.ring = disruptor.getRingBuffer();
        this.handled = metrics.timer("loop.handled");
        this.failed = metrics.counter("loop.failed");
        metrics.gauge("loop.waiting", () -> () -> ring.getBufferSize() - ring.remainingCapacity());
    }

    /** Starts the thread. */
    public void start() {
        disruptor.start();
    }

    /** Runs what waits, then ends the thread. */
    public void stop() {
        disruptor.shutdown();
    }

    /**
     * Hands an input over, waiting while the ring is full.
     *
     * @param input the input
     */
    public void publish(NodeInput input) {
        ring.publishEvent((slot, sequence) -> slot.action = actionFor(input));
    }

    /**
     * Hands an input over unless the ring is full.
     *
     * @param input the input
     * @return false if the ring is full and the input was dropped
     */
    public boolean tryPublish(NodeInput input) {
        return ring.tryPublishEvent((slot, sequence) -> slot.action = actionFor(input));
    }

    /**
     * Asks the state machine on its own thread.
     *
     * @param question reads the machine, without changing it, at the present time in ms since the epoch
     * @param <T> type of the answer
     * @return the answer; an error if the ring is full
     */
    public <T> Mono<T> ask(BiFunction<NodeMachine, Long, T> question) {
        return Mono.create(sink -> {
            LoopAction action = (owned, nowMs) -> answer(sink, question, owned, nowMs);
            if (!ring.tryPublishEvent((slot, sequence) -> slot.action = action)) {
                sink.error(new LoopFullException());
            }
        });
    }

    private static <T> void answer(
            MonoSink<T> sink, BiFunction<NodeMachine, Long, T> question, NodeMachine owned, long nowMs) {
        try {
            sink.success(question.apply(owned, nowMs));
        } catch (RuntimeException e) {
            sink.error(e);
        }
    }

    private LoopAction actionFor(NodeInput input) {
        return (owned, nowMs) -> owned.handle(input, nowMs).forEach(this::execute);
    }

    /** Keeps a failure of one effect from dropping those behind it. */
    private void execute(NodeEffect effect) {
        try {
            effects.handle(effect);
        } catch (RuntimeException e) {
            failed.inc();
            LOG.warn("effect_failed", "effect", effect.getClass().getSimpleName(), "error", e);
        }
    }

    private void run(Slot slot, long sequence, boolean endOfBatch) {
        LoopAction action = slot.action;
        slot.action = null;
        Timer.Context timing = handled.time();
        try {
            action.run(machine, clock.getAsLong());
        } catch (RuntimeException e) {
            failed.inc();
            LOG.warn("input_failed", "error", e, "at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "");
        } finally {
            timing.stop();
        }
    }

    /** One place in the ring. */
    private static final class Slot {
        private LoopAction action;
    }
}
