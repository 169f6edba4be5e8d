package org.fuchsiawinch.bench.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;

/** An owner with its store and workers on a virtual clock; measures each call of the owner. Not thread-safe. */
final class SimulatedCell {

    static final int ACCELERATORS = 8;
    private static final int WORKERS_PER_RACK = 12;
    private static final Resources CAPACITY = new Resources(32_000, 64_000, ACCELERATORS, 0, 0);
    private static final long STORE_LATENCY_MS = 5;
    private static final long LINK_LATENCY_MS = 1;
    private static final long STOP_MS = 400;
    private static final long TICK_MS = 100;
    private static final long LONGEST_LEASE_MS = 10_000;
    private static final int WORKSPACES = 8;

    final Map<String, CellRecord> stored = new LinkedHashMap<>();
    final CallCosts costs = new CallCosts();
    private final Map<WorkerId, SimulatedWorker> workers = new TreeMap<>();
    private final Map<String, Submission> submissions = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private CellOwner owner;
    private long epoch;
    private long nowMs = 1_000_000;
    private long sequence;

    private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    SimulatedCell(int workerCount) {
        for (int i = 0; i < workerCount; i++) {
            WorkerId id = new WorkerId("w" + i);
            workers.put(id, new SimulatedWorker(this, id));
        }
    }

    /** Returns a workspace by its number; each is guaranteed the same part of half of all accelerators. */
    static WorkspaceId workspace(int number) {
        return new WorkspaceId("ws" + number % WORKSPACES);
    }

    long nowMs() {
        return nowMs;
    }

    Submission submission(String job) {
        return submissions.get(job);
    }

    /** Replaces the owner by one that loads the stored records. */
    void takeOver() {
        epoch++;
        CellOwner taken = new CellOwner(
                OwnerSettings.of("n" + epoch, LONGEST_LEASE_MS, 3, 60_000), epoch, (event, pairs) -> {}, nowMs, nowMs);
        owner = taken;
        costs.measure(() -> taken.load(List.copyOf(stored.values()), Optional.empty(), nowMs));
        Map<WorkspaceId, Integer> guarantees = new HashMap<>();
        for (int i = 0; i < WORKSPACES; i++) {
            guarantees.put(workspace(i), workers.size() * ACCELERATORS / 2 / WORKSPACES);
        }
        input(new OwnerInput.GuaranteesChanged(new Guarantees(guarantees)));
        listWorkers();
        schedule(TICK_MS, () -> tick(taken));
    }

    /** Sends the whole list of workers to the owner, as after a loss of the connection to the store. */
    void listWorkers() {
        int number = 0;
        for (WorkerId id : workers.keySet()) {
            String rack = "r" + number++ / WORKERS_PER_RACK;
            input(new OwnerInput.WorkerListed(
                    new WorkerRegistration(id, "desk", rack, List.of("a", rack), CAPACITY, false)));
        }
    }

    /** Ends all runs of some workers and starts these workers again. */
    void restartWorkers(int count) {
        workers.values().stream().limit(count).forEach(SimulatedWorker::restart);
    }

    void submit(Submission job) {
        CellRecord record = new CellRecord.Accepted(job);
        stored.put(record.key(), record);
        submissions.put(job.id(), job);
        input(new OwnerInput.RecordsRead(List.of(record)));
    }

    long startedRuns() {
        return workers.values().stream().mapToLong(SimulatedWorker::startedRuns).sum();
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    void run(long forMs) {
        long endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event next = events.remove();
            nowMs = Math.max(nowMs, next.atMs());
            next.action().run();
        }
        nowMs = endMs;
    }

    /** Delivers an input to the owner that asked for it, unless another one has taken over since. */
    void answer(CellOwner asker, OwnerInput input) {
        schedule(LINK_LATENCY_MS, () -> {
            if (owner == asker) {
                input(input);
            }
        });
    }

    private void tick(CellOwner ticked) {
        if (owner == ticked) {
            input(new OwnerInput.Tick());
            schedule(TICK_MS, () -> tick(ticked));
        }
    }

    private void input(OwnerInput input) {
        CellOwner asked = owner;
        List<OwnerEffect> effects = new ArrayList<>();
        costs.measure(() -> effects.addAll(asked.handle(input, nowMs)));
        effects.forEach(effect -> execute(asked, effect));
    }

    private void execute(CellOwner asker, OwnerEffect effect) {
        if (effect instanceof OwnerEffect.Append append) {
            append.records().forEach(record -> stored.put(record.key(), record));
            schedule(STORE_LATENCY_MS, () -> answer(asker, new OwnerInput.Appended()));
        } else if (effect instanceof OwnerEffect.Renew renew) {
            workers.get(renew.worker()).renew(asker, renew);
        } else if (effect instanceof OwnerEffect.Start start) {
            workers.get(start.worker()).start(start.run());
            answer(asker, new OwnerInput.StartAnswered(start.worker(), start.run(), StartOutcome.STARTED));
        } else if (effect instanceof OwnerEffect.Stop stop) {
            SimulatedWorker worker = workers.get(stop.worker());
            schedule(STOP_MS, () -> worker.end(stop.run(), WorkerReport.RunEnd.STOPPED));
            answer(asker, new OwnerInput.StopAnswered(stop.worker(), stop.run(), true));
        }
    }
}
