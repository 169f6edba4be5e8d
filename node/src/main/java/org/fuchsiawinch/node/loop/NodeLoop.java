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
 * Single thread that owns the node state machine and takes its inputs from a bounded ring buffer. Publishing is
 * thread-safe. Runs from {@link #start} to {@link #stop}.
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
     * Creates a loop that is not started.
     *
     * @param machine the state machine, used only on the loop's thread from now on
     * @param effects executes the effects of inputs
     * @param clock source of the present time in ms since the epoch
     * @param ringSize capacity of the ring buffer in inputs, a power of two
     * @param metrics registry of the loop's metrics
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

    /** Processes the inputs in the ring buffer, then ends the thread. */
    public void stop() {
        disruptor.shutdown();
    }

    /**
     * Publishes an input; blocks while the ring buffer is full.
     *
     * @param input the input
     */
    public void publish(NodeInput input) {
        ring.publishEvent((slot, sequence) -> slot.action = actionFor(input));
    }

    /**
     * Publishes an input unless the ring buffer is full.
     *
     * @param input the input
     * @return false if the ring buffer is full and the input was dropped
     */
    public boolean tryPublish(NodeInput input) {
        return ring.tryPublishEvent((slot, sequence) -> slot.action = actionFor(input));
    }

    /**
     * Evaluates a query on the state machine's thread.
     *
     * @param query query that reads the machine without changing it; receives the present time in ms since the epoch
     * @param <T> type of the result
     * @return the result; a {@link LoopFullException} if the ring buffer is full
     */
    public <T> Mono<T> query(BiFunction<NodeMachine, Long, T> query) {
        return Mono.create(sink -> {
            LoopAction action = (owned, nowMs) -> evaluate(sink, query, owned, nowMs);
            if (!ring.tryPublishEvent((slot, sequence) -> slot.action = action)) {
                sink.error(new LoopFullException());
            }
        });
    }

    private static <T> void evaluate(
            MonoSink<T> sink, BiFunction<NodeMachine, Long, T> query, NodeMachine owned, long nowMs) {
        try {
            sink.success(query.apply(owned, nowMs));
        } catch (RuntimeException e) {
            sink.error(e);
        }
    }

    private LoopAction actionFor(NodeInput input) {
        return (owned, nowMs) -> owned.handle(input, nowMs).forEach(this::execute);
    }

    /** Executes an effect. A failure is logged, so that the effects after it are still executed. */
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

    /** Entry of the ring buffer. */
    private static final class Slot {
        private LoopAction action;
    }
}
