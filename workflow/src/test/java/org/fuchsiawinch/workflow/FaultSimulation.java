package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Several nodes, their store and their workers on one virtual clock; all chance comes from a seed. */
final class FaultSimulation {

    static final long START_MS = 1_000_000;
    private static final long EXPIRY_CHECK_MS = 250;

    final Random random;
    final SimulatedStore store = new SimulatedStore();
    final SimulatedLinks links;
    final RunRules rules = new RunRules(this);
    final List<SimulatedNode> nodes = new ArrayList<>();
    final Map<WorkerId, SimulatedWorker> workers = new TreeMap<>();
    final Map<String, Submission> submissions = new LinkedHashMap<>();
    final List<String> faults = new ArrayList<>();
    long nowMs = START_MS;
    double failureShare;

    /** Number of failed runs of a task or gang after which its job fails. */
    int maxAttempts = 3;

    double minRunTimeFactor = 1;
    double runTimeFactorSpread;
    private final List<String> log = new ArrayList<>();
    private final PriorityQueue<OwnerHarness.Event> events = new PriorityQueue<>();
    private long sequence;

    FaultSimulation(long seed, int nodeCount, int workerCount) {
        random = new Random(seed);
        links = new SimulatedLinks(this, random);
        for (int i = 0; i < nodeCount; i++) {
            SimulatedNode node = new SimulatedNode(this, "n" + i, 1 + 337 * i);
            nodes.add(node);
            schedule(i, node::start);
        }
        for (int i = 0; i < workerCount; i++) {
            double clockRate = i % 2 == 0 ? 1 : 0.98;
            SimulatedWorker worker = new SimulatedWorker(this, new WorkerId("w" + i), "r" + i / 3, clockRate);
            workers.put(worker.id, worker);
            schedule(i, worker::checkIn);
        }
        schedule(EXPIRY_CHECK_MS, this::expireEntries);
    }

    private void expireEntries() {
        if (!store.down) {
            store.expireEntries(nowMs);
        }
        schedule(EXPIRY_CHECK_MS, this::expireEntries);
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new OwnerHarness.Event(nowMs + Math.max(0, delayMs), sequence++, action));
    }

    FaultSimulation run(long forMs) {
        long endMs = nowMs + forMs;
        int checked = store.stream.size();
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            OwnerHarness.Event next = events.remove();
            nowMs = Math.max(nowMs, next.atMs());
            next.action().run();
            while (checked < store.stream.size()) {
                rules.stored(store.stream.get(checked++));
            }
        }
        nowMs = endMs;
        return this;
    }

    void log(String line) {
        log.add(nowMs - START_MS + " " + line);
    }

    /** Records a fault for the report of a violation. */
    void fault(String text) {
        faults.add(nowMs - START_MS + " " + text);
        log("FAULT " + text);
    }

    /** Returns the log lines that name a job or change the state of a worker or node. */
    List<String> logOf(String job) {
        return log.stream()
                .filter(line -> line.contains(job + "/")
                        || line.contains(job + ",")
                        || line.matches(
                                "\\d+ (w\\d+ (up|down|lease).*|n\\d+ (owns|gives|killed|frozen|\\w*worker-(re|un|le)).*)")
                        || line.contains("FAULT"))
                .toList();
    }

    FaultSimulation submit(String id, StepSpec... steps) {
        Submission submission = new Submission(
                id,
                "q",
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(1, maxAttempts, 3, 500),
                nowMs,
                "payload",
                List.of(steps));
        submissions.put(id, submission);
        store(new CellRecord.Accepted(submission));
        return this;
    }

    /** Stores a record of a node that is not the owner, once the store is up. */
    void store(CellRecord record) {
        if (store.down) {
            schedule(100, () -> store(record));
            return;
        }
        store.append(record);
    }

    static StepSpec step(int count, int accelerators, long runMs, boolean gang, Integer... after) {
        return new StepSpec(
                count,
                new Resources(500, 500, accelerators, 0, 0),
                runMs,
                List.of(after),
                gang,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    /** Returns the worker to which the newest stored record of a job assigns one of its tasks. */
    Optional<SimulatedWorker> assignedWorker(String job) {
        return store.newest().stream()
                .filter(CellRecord.Progress.class::isInstance)
                .map(CellRecord.Progress.class::cast)
                .filter(progress -> progress.job().equals(job))
                .flatMap(progress -> progress.steps().stream())
                .flatMap(List::stream)
                .flatMap(task -> task.worker().stream())
                .findFirst()
                .map(workers::get);
    }

    Submission submission(TaskRef task) {
        return submissions.get(task.job());
    }

    StepSpec step(TaskRef task) {
        return submission(task).steps().get(task.step());
    }

    double runTimeFactor(TaskRun run) {
        return minRunTimeFactor + runTimeFactorSpread * random.nextDouble();
    }

    boolean runFails(TaskRun run) {
        return random.nextDouble() < failureShare;
    }

    /** Returns the running members of a gang, with their workers. */
    Map<SimulatedWorker.Run, SimulatedWorker> members(TaskRun run) {
        Map<SimulatedWorker.Run, SimulatedWorker> found = new LinkedHashMap<>();
        for (SimulatedWorker worker : workers.values()) {
            for (SimulatedWorker.Run member : worker.running.values()) {
                TaskRef task = member.id.task();
                if (task.job().equals(run.task().job())
                        && task.step() == run.task().step()
                        && member.id.number() == run.number()) {
                    found.put(member, worker);
                }
            }
        }
        return found;
    }
}
