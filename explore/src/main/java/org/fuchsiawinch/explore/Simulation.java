package org.fuchsiawinch.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawinch.core.baseline.FirstFitScheduler;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Simulates one schedule on a virtual clock: nodes, workers, log, callers and faults. Not thread-safe; used once. */
final class Simulation {

    static final WorkspaceId WORKSPACE = new WorkspaceId("plans");

    /** Unix time in ms at virtual time 0. */
    private static final long CLOCK_START_MS = 1_700_000_000_000L;

    private static final long RETENTION_MS = 30_000;
    private static final long SNAPSHOT_INTERVAL_MS = 4000;
    private static final long WORKER_ADVANCE_INTERVAL_MS = 250;

    /** Exclusive upper bound of the lag of the VM list unless an event sets it. */
    private static final long USUAL_LIST_LAG_MS = 1500;

    private static final long LIST_SAMPLE_INTERVAL_MS = 500;

    /** Covers 10 s, more than the longest lag of the list. */
    private static final int MAX_LIST_SAMPLES = 20;

    /** Number of workers up at which a lost one is always replaced. */
    private static final int MIN_WORKERS = 4;

    private static final long BACK_AFTER_LEAVE_MS = 15_000;
    private static final long MIN_BACK_AFTER_MS = 10_000;
    private static final long DOCUMENT_RETRY_MS = 300;
    private static final long SHORT_RENEW_HORIZON_MS = 6000;
    private static final long DRAIN_TRACE_DELAY_MS = 40_000;
    private static final String TEAM = "engineering";

    private final Schedule schedule;
    private final Set<ProtocolFeature> features;
    private final EventLoop loop = new EventLoop();
    private final SplittableRandom random;
    private final SimLog log;
    private final WorkerConnections connections;
    private final List<SimNode> nodes = new ArrayList<>();
    private final List<SimWorker> workers = new ArrayList<>();
    private final Map<Integer, Caller> callers = new HashMap<>();
    private final Deque<ListSample> listSamples = new ArrayDeque<>();
    private final List<Observation> history = new ArrayList<>();
    private final Consumer<String> trace;
    private long listLagUntilMs;
    private long listLagMs = USUAL_LIST_LAG_MS;
    private long requests;
    private int nodeCount;
    private int callerCount;

    Simulation(Schedule schedule, Set<ProtocolFeature> features, Consumer<String> trace) {
        this.schedule = schedule;
        this.features = features;
        this.trace = trace;
        this.random = new SplittableRandom(schedule.seed() ^ 0x5DEECE66DL);
        this.log = new SimLog(loop, random.split(), RETENTION_MS);
        this.connections = new WorkerConnections(loop, random.split());
    }

    /** Runs the schedule to its end and returns the history. */
    History run() {
        for (WorkerSpec spec : schedule.workers()) {
            boolean fenced = features.contains(ProtocolFeature.FENCING);
            workers.add(new SimWorker(spec, fenced, CLOCK_START_MS + clockOffsetMs(), this::observe));
        }
        sampleList();
        for (int slot = 0; slot < schedule.nodes(); slot++) {
            nodes.add(null);
            startNode(slot);
        }
        advanceWorkers();
        loop.scheduleAfter(DOCUMENT_RETRY_MS, this::createInitialDocument);
        schedule.events().forEach(event -> loop.scheduleAt(event.atMs(), () -> apply(event)));
        loop.runUntil(schedule.endMs());
        workers.forEach(worker -> worker.advance(loop.nowMs()));
        nodes.stream()
                .filter(node -> node.alive() && node.draining())
                .forEach(node -> observe(new Observation.NotDrained(loop.nowMs(), node.id())));
        return new History(schedule, history, log.appended(), loop.nowMs());
    }

    EventLoop loop() {
        return loop;
    }

    SimLog log() {
        return log;
    }

    long newRequest() {
        return ++requests;
    }

    void observe(Observation observation) {
        history.add(observation);
        trace.accept(observation.toString());
    }

    void trace(NodeId node, NodeEvent event) {
        trace.accept(loop.nowMs() + " " + node + " " + event);
    }

    /** Returns a random node that is alive and not draining, as a load balancer would, or empty if there is none. */
    Optional<SimNode> pickAvailableNode() {
        List<SimNode> usable =
                nodes.stream().filter(node -> node.alive() && !node.draining()).toList();
        return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(random.nextInt(usable.size())));
    }

    void command(SimNode node, NodeEffect.Command command) {
        int index = indexOf(command.worker());
        connections.send(
                node.id().value(),
                index,
                workers.get(index),
                command.command(),
                reply -> node.deliver(new NodeInput.WorkerReplied(
                        command.worker(), command.command().epoch(), reply)));
    }

    /** Starts a new node in the slot of one that ended. */
    void replace(SimNode ended, long afterMs) {
        int slot = nodes.indexOf(ended);
        loop.scheduleAfter(afterMs, () -> startNode(slot));
    }

    /** Returns the VM list with its present lag. */
    NodeInput.WorkersListed listedWorkers() {
        long lagMs = loop.nowMs() < listLagUntilMs ? listLagMs : random.nextLong(USUAL_LIST_LAG_MS);
        ListSample found = listSamples.getFirst();
        for (ListSample sample : listSamples) {
            if (sample.atMs() <= loop.nowMs() - lagMs) {
                found = sample;
            }
        }
        return found.list();
    }

    private void startNode(int slot) {
        if (nodes.get(slot) != null && nodes.get(slot).alive()) {
            return;
        }
        nodeCount++;
        NodeId id = new NodeId("n" + slot + "-" + nodeCount);
        boolean checksBase = features.contains(ProtocolFeature.DOCUMENT_BASE_CHECK);
        NodeMachine machine = new NodeMachine(
                settings(id, slot), () -> new FakeDocumentFold(checksBase), () -> new FirstFitScheduler(false));
        SimNode node = new SimNode(id, this, machine, clockOffsetMs());
        nodes.set(slot, node);
        node.start();
    }

    private NodeSettings settings(NodeId id, int slot) {
        NodeSettings settings = NodeSettings.defaults(id, slot).withFeatures(features);
        NodeSettings snapshotting = settings.withSnapshotIntervalMs(SNAPSHOT_INTERVAL_MS);
        // Every fourth schedule has a renew horizon that its faults can outlast.
        return schedule.seed() % 4 == 0 ? snapshotting.withRenewHorizonMs(SHORT_RENEW_HORIZON_MS) : snapshotting;
    }

    private long clockOffsetMs() {
        long drift = NodeSettings.defaults(new NodeId("any"), 0).clockDriftMs();
        return random.nextLong(drift) - drift / 2;
    }

    private void sampleList() {
        listSamples.addLast(new ListSample(loop.nowMs(), currentList()));
        if (listSamples.size() > MAX_LIST_SAMPLES) {
            listSamples.removeFirst();
        }
        loop.scheduleAfter(LIST_SAMPLE_INTERVAL_MS, this::sampleList);
    }

    private NodeInput.WorkersListed currentList() {
        List<WorkerSpec> all =
                workers.stream().filter(SimWorker::listed).map(SimWorker::spec).toList();
        List<WorkerId> leaving = workers.stream()
                .filter(worker -> worker.listed() && worker.listedLeaving())
                .map(worker -> worker.spec().id())
                .toList();
        return new NodeInput.WorkersListed(all, leaving);
    }

    private void advanceWorkers() {
        workers.forEach(worker -> worker.advance(loop.nowMs()));
        loop.scheduleAfter(WORKER_ADVANCE_INTERVAL_MS, this::advanceWorkers);
    }

    private void createInitialDocument() {
        long id = newRequest();
        pickAvailableNode()
                .ifPresent(node -> node.request(
                        id, new NodeInput.DocumentChange(id, new LogRecord.DocumentFounded("v1")), reply -> {
                            if (!(reply instanceof NodeReply.DocumentJudged)) {
                                loop.scheduleAfter(DOCUMENT_RETRY_MS, this::createInitialDocument);
                            }
                        }));
    }

    private void apply(ScheduleEvent event) {
        trace.accept(event.toString());
        if (event instanceof ScheduleEvent.Submit submit) {
            submit(submit);
        } else if (event instanceof ScheduleEvent.Cancel cancel) {
            Optional.ofNullable(callers.get(cancel.job())).ifPresent(Caller::cancel);
        } else if (event instanceof ScheduleEvent.DocumentRace race) {
            proposeConcurrently(race.editors());
        } else if (event instanceof ScheduleEvent.LogOutage outage) {
            log.outage(outage.forMs());
            observe(new Observation.LogImpaired(loop.nowMs(), loop.nowMs() + outage.forMs()));
        } else if (event instanceof ScheduleEvent.LogSlow slow) {
            log.slow(slow.forMs(), slow.delayMs());
            observe(new Observation.LogImpaired(loop.nowMs(), loop.nowMs() + slow.forMs()));
        } else if (event instanceof ScheduleEvent.AppendFaults faults) {
            log.appendFaults(faults);
        } else if (event instanceof ScheduleEvent.CommandFaults faults) {
            connections.faults(faults);
        } else if (event instanceof ScheduleEvent.ListLagged lagged) {
            listLagUntilMs = loop.nowMs() + lagged.forMs();
            listLagMs = lagged.lagMs();
        } else {
            applyToNode(event);
            applyToWorker(event);
        }
    }

    private void applyToNode(ScheduleEvent event) {
        if (event instanceof ScheduleEvent.NodePaused paused) {
            resolveNode(paused.node()).ifPresent(node -> node.pause(paused.forMs()));
        } else if (event instanceof ScheduleEvent.NodeKilled killed) {
            resolveNode(killed.node()).ifPresent(node -> kill(node, killed.downMs()));
        } else if (event instanceof ScheduleEvent.AllNodesKilled killed) {
            nodes.stream().filter(SimNode::alive).toList().forEach(node -> kill(node, killed.downMs()));
        } else if (event instanceof ScheduleEvent.NodeDrained drained) {
            resolveNode(drained.node()).filter(node -> !node.draining()).ifPresent(this::drain);
        } else if (event instanceof ScheduleEvent.NodeCutFromLog cut) {
            resolveNode(cut.node()).ifPresent(node -> node.cutFromLog(cut.forMs()));
        } else if (event instanceof ScheduleEvent.NodeCutFromWorkers cut) {
            resolveNode(cut.node()).ifPresent(node -> cut.workers()
                    .forEach(worker -> connections.disconnect(node.id().value(), worker, cut.forMs())));
        } else if (event instanceof ScheduleEvent.ConnectionSilent silent) {
            resolveNode(silent.node())
                    .ifPresent(node -> connections.silence(node.id().value(), silent.worker()));
        }
    }

    private void applyToWorker(ScheduleEvent event) {
        if (event instanceof ScheduleEvent.WorkerLeaves leaves) {
            SimWorker worker = workers.get(leaves.worker());
            if (worker.up() && !worker.listedLeaving()) {
                worker.leave(leaves.saysSo(), loop.nowMs());
                loop.scheduleAfter(leaves.goneAfterMs(), () -> loseWorker(worker, BACK_AFTER_LEAVE_MS));
            }
        } else if (event instanceof ScheduleEvent.WorkerLost lost) {
            loseWorker(workers.get(lost.worker()), lost.backAfterMs());
        } else if (event instanceof ScheduleEvent.WorkerRestarted restarted) {
            SimWorker worker = workers.get(restarted.worker());
            if (worker.up() && !worker.listedLeaving()) {
                worker.stop(loop.nowMs());
                loop.scheduleAfter(restarted.downMs(), () -> worker.start(loop.nowMs()));
            }
        }
    }

    private void loseWorker(SimWorker worker, long backAfterMs) {
        if (!worker.up()) {
            return;
        }
        boolean fewLeft = workers.stream().filter(SimWorker::up).count() <= MIN_WORKERS;
        worker.stop(loop.nowMs());
        loop.scheduleAfter(500 + random.nextInt(2000), () -> worker.listed(worker.up()));
        if (backAfterMs > 0 || fewLeft) {
            loop.scheduleAfter(Math.max(backAfterMs, MIN_BACK_AFTER_MS), () -> worker.start(loop.nowMs()));
        }
    }

    private void kill(SimNode node, long downMs) {
        node.kill();
        replace(node, downMs);
    }

    private void drain(SimNode node) {
        node.drain();
        loop.scheduleAfter(DRAIN_TRACE_DELAY_MS, () -> {
            if (node.alive() && loop.nowMs() < schedule.endMs()) {
                trace.accept("still draining " + node.id());
            }
        });
    }

    private Optional<SimNode> resolveNode(int index) {
        if (index != ScheduleEvent.OWNER) {
            return Optional.of(nodes.get(index)).filter(SimNode::alive);
        }
        return nodes.stream().filter(SimNode::ownsCell).findFirst();
    }

    private void submit(ScheduleEvent.Submit submit) {
        JobPlan plan = schedule.jobs().get(submit.job());
        JobSpec spec = withAbsoluteDeadline(plan.spec());
        for (int copy = 0; copy < submit.callers(); copy++) {
            int variant = submit.conflicting() && copy > 0 ? copy : 0;
            Caller caller = new Caller(this, plan, spec, ++callerCount, variant);
            callers.putIfAbsent(submit.job(), caller);
            caller.sendRequest();
        }
    }

    private static JobSpec withAbsoluteDeadline(JobSpec spec) {
        OptionalLong deadline = spec.deadlineMs().isPresent()
                ? OptionalLong.of(CLOCK_START_MS + spec.deadlineMs().getAsLong())
                : OptionalLong.empty();
        return new JobSpec(
                spec.id(),
                spec.workspace(),
                spec.kind(),
                spec.shape(),
                spec.declaredRunMs(),
                spec.idempotent(),
                spec.checkpointable(),
                spec.urgency(),
                deadline);
    }

    private void proposeConcurrently(int editors) {
        for (int editor = 0; editor < editors; editor++) {
            Optional<SimNode> node = pickAvailableNode();
            if (node.isEmpty()) {
                return;
            }
            int base = node.get().documentVersion();
            long id = newRequest();
            String text = "v" + (base + 1) + " by " + id;
            LogRecord change = new LogRecord.DocumentProposed(TEAM, "capacity", base, text, "");
            node.get().request(id, new NodeInput.DocumentChange(id, change), reply -> onProposalReply(base, reply));
        }
    }

    private void onProposalReply(int base, NodeReply reply) {
        if (reply instanceof NodeReply.DocumentJudged judged && judged.refusal().isEmpty()) {
            observe(new Observation.DocumentAccepted(loop.nowMs(), base, judged.version()));
        }
    }

    private int indexOf(WorkerId id) {
        for (int index = 0; index < workers.size(); index++) {
            if (workers.get(index).spec().id().equals(id)) {
                return index;
            }
        }
        throw new IllegalStateException("unknown worker " + id);
    }

    private record ListSample(long atMs, NodeInput.WorkersListed list) {}
}
