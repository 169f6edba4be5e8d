package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Test harness: an owner, its stored records and its simulated workers on a virtual clock. */
final class OwnerHarness {

    static final Resources WORKER_CAPACITY = new Resources(32_000, 64_000, 8, 0, 0);
    static final long STORE_LATENCY_MS = 5;
    static final long LINK_LATENCY_MS = 1;
    static final long START_MS = 1_000_000;

    /** Factor by which a run time grows away from the rack of the data or the gang. */
    private static final double REMOTE_FACTOR = 3;

    /** Time in ms that the members of a gang wait for all others to start. */
    private static final long GANG_START_TIMEOUT_MS = 3000;

    /** Time in ms until the other members of a broken gang end. */
    private static final long GANG_BREAK_MS = 200;

    final Map<String, CellRecord> stored = new LinkedHashMap<>();
    final Map<String, Submission> submissions = new HashMap<>();
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final List<String> log = new ArrayList<>();
    final LogLines lines = new LogLines();
    final Map<String, Integer> counts = new TreeMap<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    CellOwner owner;
    Guarantees guarantees = Guarantees.NONE;
    long epoch;
    long nowMs = START_MS;
    boolean storeDown;

    /** Time in ms from the storing of an append to its answer. */
    long storeAnswerMs = STORE_LATENCY_MS;

    /** Time in ms at which a successor that follows the stream reads the last record of the owner. */
    private long lastRecordMs = START_MS;

    /** Shortest time in ms from a start order to the earliest claim of a node that has read the last stored record. */
    long minTermLeftMs = Long.MAX_VALUE;

    /** Share of the workers that is kept free for urgent work. */
    double headroomShare = 0.125;

    /** Time in ms within which the drain of a data centre has to take effect; empty if there is no bound. */
    OptionalLong drainBoundMs = OptionalLong.empty();

    /** Whether the members of a gang start work and end together; if not, each works independently. */
    boolean gangsSynchronized;

    GroundTruth groundTruth = task -> step(task).estimatedMs();
    boolean steppedDown;

    /** Number of appends that were stored. */
    int appends;

    private long sequence;

    record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    FakeWorker worker(String id, String rack) {
        FakeWorker worker = new FakeWorker(this, new WorkerId(id), rack);
        workers.put(worker.id, worker);
        return worker;
    }

    OwnerHarness workers(int count) {
        for (int i = 0; i < count; i++) {
            worker("w" + i, "r" + i / 4);
        }
        return this;
    }

    /**
     * Replaces the owner by one of another node that has followed the stream; the earlier owner gets no further inputs.
     */
    OwnerHarness takeOver() {
        return takeOver(Optional.of(new Predecessor(epoch, lastRecordMs, true)));
    }

    OwnerHarness takeOver(Optional<Predecessor> predecessor) {
        epoch++;
        steppedDown = false;
        owner = new CellOwner(
                new OwnerSettings(
                        "n" + epoch, 6000, 10_000, 3000, 1000, 2000, 400, 3, 60_000, headroomShare, drainBoundMs),
                epoch,
                new Recorder(),
                nowMs,
                nowMs);
        lastRecordMs = nowMs;
        owner.load(List.copyOf(stored.values()), predecessor, nowMs);
        input(new OwnerInput.GuaranteesChanged(guarantees));
        for (FakeWorker worker : workers.values()) {
            list(worker, false);
        }
        CellOwner tickedOwner = owner;
        schedule(100, () -> tick(tickedOwner));
        return this;
    }

    /** Stores what the owner stores with the release of the cell; a takeover has to follow. */
    OwnerHarness release() {
        owner.releaseRecords(nowMs).forEach(record -> stored.put(record.key(), record));
        return this;
    }

    /** Records the lines and counts of all owners. */
    private final class Recorder implements DecisionLog {

        @Override
        public void line(String event, Object... pairs) {
            log.add(nowMs + " " + event + " " + List.of(pairs));
            lines.add(event, pairs);
        }

        @Override
        public void count(String counter) {
            counts.merge(counter, 1, Integer::sum);
        }
    }

    private void tick(CellOwner tickedOwner) {
        if (owner == tickedOwner) {
            input(new OwnerInput.Tick());
            schedule(100, () -> tick(tickedOwner));
        }
    }

    void list(FakeWorker worker, boolean leaving) {
        input(new OwnerInput.WorkerListed(new WorkerRegistration(
                worker.id, "desk", worker.rack, List.of("a", worker.rack), worker.capacity, leaving)));
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    OwnerHarness run(long forMs) {
        long endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event next = events.remove();
            nowMs = Math.max(nowMs, next.atMs());
            next.action().run();
        }
        nowMs = endMs;
        return this;
    }

    /** Runs until a condition holds, event by event. */
    void runUntil(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Event next = events.remove();
            nowMs = Math.max(nowMs, next.atMs());
            next.action().run();
        }
    }

    void input(OwnerInput input) {
        CellOwner currentOwner = owner;
        for (OwnerEffect effect : currentOwner.handle(input, nowMs)) {
            execute(currentOwner, effect);
        }
    }

    private void reply(CellOwner caller, long delayMs, OwnerInput input) {
        schedule(delayMs, () -> {
            if (owner == caller) {
                input(input);
            }
        });
    }

    private void execute(CellOwner caller, OwnerEffect effect) {
        if (effect instanceof OwnerEffect.Append append) {
            append(caller, append);
        } else if (effect instanceof OwnerEffect.Renew renew) {
            workers.get(renew.worker()).renew(caller, epoch, renew);
        } else if (effect instanceof OwnerEffect.Start start) {
            minTermLeftMs = Math.min(minTermLeftMs, lastRecordMs + termMs() - nowMs);
            FakeWorker worker = workers.get(start.worker());
            if (worker.ignoresStarts) {
                return;
            }
            long sentEpoch = epoch;
            schedule(
                    LINK_LATENCY_MS,
                    () -> reply(
                            caller,
                            LINK_LATENCY_MS,
                            new OwnerInput.StartAnswered(start.worker(), start.run(), worker.start(sentEpoch, start))));
        } else if (effect instanceof OwnerEffect.Stop stop) {
            FakeWorker worker = workers.get(stop.worker());
            long sentEpoch = epoch;
            schedule(
                    LINK_LATENCY_MS,
                    () -> reply(
                            caller,
                            LINK_LATENCY_MS,
                            new OwnerInput.StopAnswered(stop.worker(), stop.run(), worker.stop(sentEpoch, stop))));
        } else {
            steppedDown = true;
        }
    }

    /** Returns the term in ms of the newest stored record of the owner. */
    long termMs() {
        return stored.get(CellRecord.OWNER_KEY) instanceof CellRecord.Owner record
                ? record.termMs()
                : CellRecord.Owner.MIN_TERM_MS;
    }

    private void append(CellOwner caller, OwnerEffect.Append append) {
        if (storeDown) {
            schedule(100, () -> append(caller, append));
            return;
        }
        if (owner != caller) {
            return;
        }
        append.records().forEach(record -> stored.put(record.key(), record));
        appends++;
        lastRecordMs = nowMs;
        reply(caller, storeAnswerMs, new OwnerInput.Appended());
    }

    void answer(CellOwner caller, long delayMs, OwnerInput input) {
        reply(caller, delayMs, input);
    }

    OwnerHarness submit(String id, int priority, StepSpec... steps) {
        return submit(new Submission(
                id,
                "q" + priority,
                "desk",
                new WorkspaceId("ws"),
                new Submission.QueueRules(priority, 3, priority == 0 ? 1.5 : 3, 500),
                nowMs,
                "payload",
                List.of(steps)));
    }

    OwnerHarness submit(Submission submission) {
        store(new CellRecord.Accepted(submission));
        return this;
    }

    OwnerHarness cancel(String id) {
        store(new CellRecord.CancelRequested(id));
        return this;
    }

    /** Stores a record of another node, which the owner reads at once. */
    void store(CellRecord record) {
        stored.put(record.key(), record);
        if (record instanceof CellRecord.Accepted accepted) {
            submissions.put(accepted.submission().id(), accepted.submission());
        }
        if (owner != null) {
            input(new OwnerInput.RecordsRead(List.of(record)));
        }
    }

    Optional<JobPhase> phase(String id) {
        return Optional.ofNullable(stored.get(CellRecord.Progress.PREFIX + id))
                .map(record -> ((CellRecord.Progress) record).phase());
    }

    long runningCount() {
        return workers.values().stream()
                .mapToLong(worker -> worker.running.size())
                .sum();
    }

    static StepSpec tasks(int count, int accelerators, long runMs) {
        return step(count, accelerators, runMs, false, false);
    }

    static StepSpec gang(int count, int accelerators, long runMs) {
        return step(count, accelerators, runMs, true, false);
    }

    static StepSpec step(int count, int accelerators, long runMs, boolean gang, boolean checkpoints) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, accelerators, 0, 0),
                runMs,
                List.of(),
                gang,
                false,
                checkpoints,
                0,
                Optional.empty(),
                Optional.empty());
    }

    long startCount() {
        return workers.values().stream()
                .mapToLong(worker -> worker.startedRuns.size())
                .sum();
    }

    StepSpec step(TaskRef task) {
        return submissions.get(task.job()).steps().get(task.step());
    }

    /** Returns the factor by which a task's run time grows on a worker because its data is on another rack. */
    double remoteFactor(FakeWorker worker, TaskRef task) {
        boolean remote =
                step(task).dataRack().filter(rack -> !rack.equals(worker.rack)).isPresent();
        return remote ? REMOTE_FACTOR : 1;
    }

    /** Starts the work of a gang once all members are there; ends them if some do not start in time. */
    void memberStarted(TaskRun run) {
        Map<FakeWorker.Running, FakeWorker> members = members(run);
        if (members.size() < step(run.task()).count()) {
            schedule(GANG_START_TIMEOUT_MS, () -> {
                if (members(run).size() < step(run.task()).count()) {
                    endMembers(run, WorkerReport.RunEnd.GANG_INCOMPLETE);
                }
            });
            return;
        }
        long racks =
                members.values().stream().map(worker -> worker.rack).distinct().count();
        boolean acrossRacks = step(run.task()).sameRack() && racks > 1;
        members.forEach((state, worker) ->
                worker.setRate(state, acrossRacks ? REMOTE_FACTOR : remoteFactor(worker, run.task())));
    }

    /** Ends a run that has done its work; a gang once all its members have. */
    void memberFinished(TaskRun run) {
        if (members(run).keySet().stream().allMatch(state -> state.workDone(nowMs))) {
            endMembers(run, WorkerReport.RunEnd.DONE);
        }
    }

    /** Breaks the gang of a run that has ended before the other members. */
    void gangBroken(TaskRun run) {
        if (step(run.task()).gang()) {
            schedule(GANG_BREAK_MS, () -> endMembers(run, WorkerReport.RunEnd.GANG_BROKEN));
        }
    }

    private void endMembers(TaskRun run, WorkerReport.RunEnd outcome) {
        members(run).forEach((state, worker) -> worker.end(state, outcome));
    }

    private Map<FakeWorker.Running, FakeWorker> members(TaskRun run) {
        boolean gang = step(run.task()).gang();
        Map<FakeWorker.Running, FakeWorker> found = new LinkedHashMap<>();
        for (FakeWorker worker : workers.values()) {
            for (FakeWorker.Running state : worker.running.values()) {
                TaskRef other = state.run.task();
                boolean member = other.job().equals(run.task().job())
                        && other.step() == run.task().step()
                        && state.run.number() == run.number();
                if (gang ? member : state.run.equals(run)) {
                    found.put(state, worker);
                }
            }
        }
        return found;
    }

    /** Actual run times, failures and stop times, which the owner does not know. */
    interface GroundTruth {

        /** Returns the run time in ms of a task on a worker of speed 1. */
        double workMs(TaskRef task);

        /** Returns the share of the work after which a run fails; 2 if it does not fail. */
        default double failsAt(TaskRun run) {
            return 2;
        }

        /** Returns the time in ms that a stop takes. */
        default long stopMs() {
            return FakeWorker.STOP_MS;
        }
    }
}
