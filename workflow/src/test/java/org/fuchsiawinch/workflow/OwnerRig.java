package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Test harness: an owner, its stored records and its simulated workers on a virtual clock. */
final class OwnerRig {

    static final Resources WORKER = new Resources(32_000, 64_000, 8, 0, 0);
    static final long STORE_MS = 5;
    static final long LINK_MS = 1;
    static final long START_MS = 1_000_000;

    /** Factor by which a run time grows away from the rack of the data or the gang. */
    private static final double FAR_FACTOR = 3;

    /** Time in ms that the members of a gang wait for all others to start. */
    private static final long GANG_MS = 3000;

    /** Time in ms until the other members of a broken gang end. */
    private static final long BREAK_MS = 200;

    final Map<String, CellRecord> stored = new LinkedHashMap<>();
    final Map<String, Submission> submissions = new HashMap<>();
    final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
    final List<String> log = new ArrayList<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    CellOwner owner;
    Guarantees guarantees = Guarantees.NONE;
    long epoch;
    long nowMs = START_MS;
    boolean storeDown;
    /** Share of the workers that is kept free for urgent work. */
    double headroomShare = 0.125;

    /** Whether the members of a gang start work and end together; if not, each works independently. */
    boolean gangsEndTogether;

    Truth truth = task -> step(task).estimatedMs();
    boolean steppedDown;
    private long order;

    record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    FakeWorker worker(String id, String rack) {
        FakeWorker worker = new FakeWorker(this, new WorkerId(id), rack);
        workers.put(worker.id, worker);
        return worker;
    }

    OwnerRig workers(int count) {
        for (int i = 0; i < count; i++) {
            worker("w" + i, "r" + i / 4);
        }
        return this;
    }

    /** Replaces the owner by one of another node; the earlier owner gets no further inputs. */
    OwnerRig takeOver() {
        epoch++;
        steppedDown = false;
        owner = new CellOwner(
                new OwnerSettings("n" + epoch, 6000, 1000, 2000, 400, 3, 60_000, headroomShare),
                epoch,
                (event, pairs) -> log.add(nowMs + " " + event + " " + List.of(pairs)),
                nowMs);
        owner.load(List.copyOf(stored.values()), nowMs);
        input(new OwnerInput.GuaranteesChanged(guarantees));
        for (FakeWorker worker : workers.values()) {
            list(worker, false);
        }
        CellOwner ticking = owner;
        later(100, () -> tick(ticking));
        return this;
    }

    private void tick(CellOwner ticking) {
        if (owner == ticking) {
            input(new OwnerInput.Tick());
            later(100, () -> tick(ticking));
        }
    }

    void list(FakeWorker worker, boolean leaving) {
        input(new OwnerInput.WorkerListed(new WorkerRegistration(
                worker.id, "desk", worker.rack, List.of("a", worker.rack), worker.capacity, leaving)));
    }

    void later(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    OwnerRig run(long forMs) {
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
        CellOwner acting = owner;
        for (OwnerEffect effect : acting.handle(input, nowMs)) {
            carryOut(acting, effect);
        }
    }

    private void reply(CellOwner asker, long delayMs, OwnerInput input) {
        later(delayMs, () -> {
            if (owner == asker) {
                input(input);
            }
        });
    }

    private void carryOut(CellOwner asker, OwnerEffect effect) {
        if (effect instanceof OwnerEffect.Append append) {
            append(asker, append);
        } else if (effect instanceof OwnerEffect.Renew renew) {
            workers.get(renew.worker()).renew(asker, epoch, renew);
        } else if (effect instanceof OwnerEffect.Start start) {
            FakeWorker worker = workers.get(start.worker());
            long sentEpoch = epoch;
            later(
                    LINK_MS,
                    () -> reply(
                            asker,
                            LINK_MS,
                            new OwnerInput.StartAnswered(start.worker(), start.run(), worker.start(sentEpoch, start))));
        } else if (effect instanceof OwnerEffect.Stop stop) {
            FakeWorker worker = workers.get(stop.worker());
            long sentEpoch = epoch;
            later(
                    LINK_MS,
                    () -> reply(
                            asker,
                            LINK_MS,
                            new OwnerInput.StopAnswered(stop.worker(), stop.run(), worker.stop(sentEpoch, stop))));
        } else {
            steppedDown = true;
        }
    }

    private void append(CellOwner asker, OwnerEffect.Append append) {
        if (storeDown) {
            later(100, () -> append(asker, append));
            return;
        }
        if (owner != asker) {
            return;
        }
        append.records().forEach(record -> stored.put(record.key(), record));
        reply(asker, STORE_MS, new OwnerInput.Appended());
    }

    void answer(CellOwner asker, long delayMs, OwnerInput input) {
        reply(asker, delayMs, input);
    }

    OwnerRig submit(String id, int priority, StepSpec... steps) {
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

    OwnerRig submit(Submission submission) {
        store(new CellRecord.Accepted(submission));
        return this;
    }

    OwnerRig cancel(String id) {
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

    long running() {
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

    long starts() {
        return workers.values().stream()
                .mapToLong(worker -> worker.startedRuns.size())
                .sum();
    }

    StepSpec step(TaskRef task) {
        return submissions.get(task.job()).steps().get(task.step());
    }

    /** Returns the factor by which a task's run time grows on a worker because its data is on another rack. */
    double farFactor(FakeWorker worker, TaskRef task) {
        boolean far =
                step(task).dataRack().filter(rack -> !rack.equals(worker.rack)).isPresent();
        return far ? FAR_FACTOR : 1;
    }

    /** Starts the work of a gang once all members are there; ends them if some do not start in time. */
    void joined(TaskRun run) {
        Map<FakeWorker.Running, FakeWorker> members = members(run);
        if (members.size() < step(run.task()).count()) {
            later(GANG_MS, () -> {
                if (members(run).size() < step(run.task()).count()) {
                    endAll(run, WorkerReport.RunEnd.GANG_INCOMPLETE);
                }
            });
            return;
        }
        long racks =
                members.values().stream().map(worker -> worker.rack).distinct().count();
        boolean spread = step(run.task()).sameRack() && racks > 1;
        members.forEach((state, worker) -> worker.rate(state, spread ? FAR_FACTOR : farFactor(worker, run.task())));
    }

    /** Ends a run that has done its work; a gang once all its members have. */
    void partDone(TaskRun run) {
        if (members(run).keySet().stream().allMatch(state -> state.partDone(nowMs))) {
            endAll(run, WorkerReport.RunEnd.DONE);
        }
    }

    /** Breaks the gang of a run that has ended before the other members. */
    void broken(TaskRun run) {
        if (step(run.task()).gang()) {
            later(BREAK_MS, () -> endAll(run, WorkerReport.RunEnd.GANG_BROKEN));
        }
    }

    private void endAll(TaskRun run, WorkerReport.RunEnd how) {
        members(run).forEach((state, worker) -> worker.end(state, how));
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
    interface Truth {

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
