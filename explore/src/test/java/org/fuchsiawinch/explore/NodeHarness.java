package org.fuchsiawinch.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;

import org.fuchsiawinch.core.baseline.FirstFitScheduler;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.fuchsiawinch.standin.worker.RunPlanner;
import org.fuchsiawinch.standin.worker.WorkerMachine;

/** Test harness: one node with an in-memory log and workers, advanced explicitly. Not thread-safe. */
final class NodeHarness {

    private static final Resources PART = new Resources(1000, 1024, 1, 1, 1);
    private static final long STEP_MS = 200;

    private final NodeMachine machine;
    private final List<Envelope> log = new ArrayList<>();
    private final Map<WorkerId, WorkerMachine> workers = new HashMap<>();
    private final List<WorkerSpec> specs = new ArrayList<>();
    private final List<NodeEffect> recordedEffects = new ArrayList<>();
    private final Deque<NodeInput> inputs = new ArrayDeque<>();
    private final Map<Long, NodeReply> replies = new HashMap<>();
    private long nowMs = 1_700_000_000_000L;
    private boolean logUp = true;
    private long requests;

    NodeHarness(String node, int workerCount) {
        NodeSettings settings = NodeSettings.defaults(new NodeId(node), 0);
        machine = new NodeMachine(settings, () -> new FakeDocumentFold(true), () -> new FirstFitScheduler(false));
        for (int index = 0; index < workerCount; index++) {
            WorkerSpec spec = new WorkerSpec(new WorkerId("w" + index), "suva-1", "r0", PART.times(2), 1.0);
            specs.add(spec);
            workers.put(
                    spec.id(),
                    new WorkerMachine(
                            spec,
                            part -> new RunPlanner.PlannedRun(
                                    JobPlan.runMs(part.payload()), part.payload(), Optional.empty(), 512)));
        }
    }

    /** Creates a harness whose node owns the cell and has a document in force. */
    static NodeHarness owningCell(int workerCount) {
        NodeHarness harness = new NodeHarness("n0", workerCount);
        harness.run(1000);
        harness.request(id -> new NodeInput.DocumentChange(id, new LogRecord.DocumentFounded("v1")));
        harness.run(1000);
        return harness;
    }

    void logUp(boolean up) {
        logUp = up;
    }

    void loseWorker(int index) {
        workers.remove(specs.get(index).id());
    }

    long nowMs() {
        return nowMs;
    }

    /** Sends a request and returns its id, by which {@link #reply} returns the answer. */
    long request(LongFunction<NodeInput> input) {
        requests++;
        inputs.add(input.apply(requests));
        processInputs();
        return requests;
    }

    Optional<NodeReply> reply(long request) {
        return Optional.ofNullable(replies.get(request));
    }

    void send(NodeInput input) {
        inputs.add(input);
        processInputs();
    }

    void run(long forMs) {
        for (long untilMs = nowMs + forMs; nowMs < untilMs; nowMs += STEP_MS) {
            inputs.add(new NodeInput.WorkersListed(specs, List.of()));
            if (logUp) {
                readLog();
            }
            inputs.add(new NodeInput.Tick());
            processInputs();
        }
    }

    /** Returns and clears the effects of the node since the last call. */
    List<NodeEffect> effects() {
        List<NodeEffect> recent = List.copyOf(recordedEffects);
        recordedEffects.clear();
        return recent;
    }

    <T extends WorkerCommand> List<T> commands(Class<T> kind) {
        return effects().stream()
                .filter(NodeEffect.Command.class::isInstance)
                .map(effect -> ((NodeEffect.Command) effect).command())
                .filter(kind::isInstance)
                .map(kind::cast)
                .toList();
    }

    static JobSpec job(String id, int parts) {
        return new JobSpec(
                new JobId(id),
                Simulation.WORKSPACE,
                "kind",
                new Shape(parts, PART, Adjacency.DATA_CENTRE),
                1000,
                true,
                false,
                Urgency.NORMAL,
                OptionalLong.empty());
    }

    static byte[] payload(long runMs) {
        return new JobPlan(job("any", 1), runMs).payload(0);
    }

    private void readLog() {
        for (int offset = (int) machine.fold().nextOffset(); offset < log.size(); offset++) {
            inputs.add(new NodeInput.RecordRead(offset, log.get(offset)));
        }
        inputs.add(new NodeInput.LogEndReached(log.size()));
    }

    private void processInputs() {
        while (!inputs.isEmpty()) {
            machine.handle(inputs.removeFirst(), nowMs).forEach(this::execute);
        }
    }

    private void execute(NodeEffect effect) {
        recordedEffects.add(effect);
        if (effect instanceof NodeEffect.Append append) {
            long first = append.batch().get(0).id().sequence();
            if (logUp) {
                log.addAll(append.batch());
            }
            inputs.add(logUp ? new NodeInput.AppendDone(first) : new NodeInput.AppendFailed(first));
        } else if (effect instanceof NodeEffect.Reply reply) {
            replies.put(reply.requestId(), reply.reply());
        } else if (effect instanceof NodeEffect.Command command) {
            WorkerMachine worker = workers.get(command.worker());
            if (worker != null) {
                inputs.add(new NodeInput.WorkerReplied(
                        command.worker(), command.command().epoch(), worker.handle(command.command(), nowMs)));
            }
        }
    }
}
