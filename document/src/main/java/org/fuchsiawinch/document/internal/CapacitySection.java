package org.fuchsiawinch.document.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;

/** Fields and checks of the section {@code capacity}. Stateless. */
final class CapacitySection {

    static final Field<Integer> COUNT = Field.of(
                    "count", FieldTypes.WHOLE, "Number of such shapes that the workspace may claim at the same time.")
            .defaultTo("1")
            .between("1", "1000");
    static final Field<Integer> PARTS = Field.of("parts", FieldTypes.WHOLE, "Number of equal parts of the gang.")
            .between("1", "64");
    static final Field<Adjacency> ADJACENCY = Field.of(
            "adjacency",
            FieldTypes.oneOf(List.of(Adjacency.values()), FieldTypes::wordOf),
            "Place within which all parts run.");
    static final Field<Integer> CPU =
            Field.of("cpu", FieldTypes.CORES, "Processor cores of each part.").between("0", "1024");
    static final Field<Long> MEMORY =
            Field.of("memory", FieldTypes.MEMORY, "Memory of each part.").between("0MiB", "16TiB");
    static final Field<Integer> ACCELERATORS = Field.of("accelerators", FieldTypes.WHOLE, "Accelerators of each part.")
            .between("1", "64");
    static final Field<Integer> SLOTS = Field.of("slots", FieldTypes.WHOLE, "Task slots of each part.")
            .defaultTo("1")
            .between("1", "64");
    static final Field<Integer> CONNECTIONS = Field.of(
                    "connections", FieldTypes.WHOLE, "Open connections of each part.")
            .defaultTo("1")
            .between("0", "1024");
    static final Group PER_PART = Group.object("per-part").withFields(CPU, MEMORY, ACCELERATORS, SLOTS, CONNECTIONS);
    static final Group GUARANTEES = Group.list("guarantees")
            .optional()
            .withFields(COUNT, PARTS, ADJACENCY)
            .withGroups(PER_PART);
    static final Field<Integer> ACCELERATOR_QUOTA = Field.of(
                    "accelerator-quota",
                    FieldTypes.WHOLE,
                    "Most accelerators that the workspace may hold at one time, lent ones included.")
            .between("0", "1000000");
    static final Field<Integer> QUEUE_BOUND = Field.of(
                    "queue-bound", FieldTypes.WHOLE, "Most jobs of the workspace that may wait.")
            .defaultTo("1000")
            .between("1", "100000");
    static final Group WORKSPACES = Group.map("workspaces", "workspace")
            .withFields(ACCELERATOR_QUOTA, QUEUE_BOUND)
            .withGroups(GUARANTEES);

    static final Field<Boolean> LENDING_ENABLED = Field.of(
                    "enabled", FieldTypes.FLAG, "Whether unused guaranteed capacity is lent to other workspaces.")
            .defaultTo("true");
    static final Field<Long> CHECKPOINT = Field.of(
                    "checkpoint", FieldTypes.DURATION, "Longest time that a checkpoint before a reclaim may take.")
            .defaultTo("20s")
            .between("0s", "1h");
    static final Field<Long> RECLAIM_BOUND = Field.of(
                    "reclaim-bound",
                    FieldTypes.DURATION,
                    "Longest time from a guaranteed submit to its start on reclaimed capacity; not below checkpoint.")
            .defaultTo("60s")
            .between("1s", "2h");
    static final Group LENDING =
            Group.object("lending").optional().withFields(LENDING_ENABLED, CHECKPOINT, RECLAIM_BOUND);

    static final Field<Double> QUANTILE = Field.of(
                    "quantile",
                    FieldTypes.DECIMAL,
                    "Quantile of the seen ratios of true to declared figures by which declared ones are corrected.")
            .defaultTo("0.9")
            .between("0.5", "0.999");
    static final Field<Integer> MIN_SAMPLES = Field.of(
                    "min-samples",
                    FieldTypes.WHOLE,
                    "Fewest finished jobs of a workspace and kind before a correction applies.")
            .defaultTo("5")
            .between("1", "10000");
    static final Field<Double> MIN_FACTOR = Field.of("min-factor", FieldTypes.DECIMAL, "Lowest correction factor.")
            .defaultTo("0.25")
            .between("0.01", "1");
    static final Field<Double> MAX_FACTOR = Field.of("max-factor", FieldTypes.DECIMAL, "Highest correction factor.")
            .defaultTo("8")
            .between("1", "1000");
    static final Field<Double> TIME_OVERRUN_FACTOR = Field.of(
                    "time-overrun-factor",
                    FieldTypes.DECIMAL,
                    "Factor over the corrected run time at which an attempt is ended; 0 ends none, else at least 1.")
            .defaultTo("0")
            .between("0", "1000");
    static final Field<Double> MEMORY_OVERRUN_FACTOR = Field.of(
                    "memory-overrun-factor",
                    FieldTypes.DECIMAL,
                    "Factor over the granted memory at which an attempt is ended.")
            .defaultTo("1.25")
            .between("1", "100");
    static final Group ESTIMATES = Group.object("estimates")
            .optional()
            .withFields(QUANTILE, MIN_SAMPLES, MIN_FACTOR, MAX_FACTOR, TIME_OVERRUN_FACTOR, MEMORY_OVERRUN_FACTOR);

    static final Field<Integer> POISON_WORKERS = Field.of(
                    "poison-workers",
                    FieldTypes.WHOLE,
                    "Number of different workers on which a job fails before it is refused for good.")
            .defaultTo("3")
            .between("1", "100");
    static final Field<Integer> QUARANTINE_JOBS = Field.of(
                    "quarantine-jobs",
                    FieldTypes.WHOLE,
                    "Number of different jobs that fail on a worker within the window before it is quarantined.")
            .defaultTo("3")
            .between("1", "100");
    static final Field<Long> FAULT_WINDOW = Field.of(
                    "window", FieldTypes.DURATION, "Time over which failures of a worker are counted.")
            .defaultTo("10m")
            .between("1s", "7d");
    static final Field<Long> PROBE_AFTER = Field.of(
                    "probe-after",
                    FieldTypes.DURATION,
                    "Time from quarantine to the first probe; doubles with each failed probe.")
            .defaultTo("2m")
            .between("1s", "1d");
    static final Group FAULTS =
            Group.object("faults").optional().withFields(POISON_WORKERS, QUARANTINE_JOBS, FAULT_WINDOW, PROBE_AFTER);

    static final Field<Integer> TOTAL_QUEUE_BOUND = Field.of(
                    "total-queue-bound",
                    FieldTypes.WHOLE,
                    "Most jobs that may wait over all workspaces; guaranteed work is admitted past it.")
            .defaultTo("10000")
            .between("1", "1000000");
    static final Field<Long> RETRY_AFTER = Field.of(
                    "retry-after", FieldTypes.DURATION, "Least retry time told to a refused caller.")
            .defaultTo("5s")
            .between("100ms", "1h");
    static final Group ADMISSION = Group.object("admission").optional().withFields(TOTAL_QUEUE_BOUND, RETRY_AFTER);

    static final Group GROUP =
            Group.object(Section.CAPACITY.key()).withGroups(WORKSPACES, LENDING, ESTIMATES, FAULTS, ADMISSION);

    private CapacitySection() {}

    /**
     * Contents of the section.
     *
     * @param workspaces rules of each workspace
     * @param lending rules for lending unused guaranteed capacity
     * @param estimates rules for correcting declared run times and memory
     * @param faults rules for faulty workers and jobs
     * @param admission limits of queues
     */
    record Capacity(
            Map<WorkspaceId, WorkspaceCapacity> workspaces,
            LendingPolicy lending,
            EstimatePolicy estimates,
            FaultPolicy faults,
            AdmissionPolicy admission) {}

    /**
     * Capacity of one workspace.
     *
     * @param guarantees shapes that it may claim at any time
     * @param acceleratorQuota maximum number of accelerators that it may hold
     * @param queueBound maximum number of waiting jobs
     */
    record WorkspaceCapacity(List<Guarantee> guarantees, int acceleratorQuota, int queueBound) {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @return the contents, with placeholders where problems were reported
     */
    static Capacity read(Cursor root) {
        Cursor cursor = root.object(GROUP);
        Map<WorkspaceId, WorkspaceCapacity> workspaces = new LinkedHashMap<>();
        cursor.entries(WORKSPACES).forEach((name, entry) -> workspaces.put(new WorkspaceId(name), workspace(entry)));
        return new Capacity(
                workspaces,
                lending(cursor.object(LENDING)),
                estimates(cursor.object(ESTIMATES)),
                faults(cursor.object(FAULTS)),
                admission(cursor.object(ADMISSION)));
    }

    private static WorkspaceCapacity workspace(Cursor cursor) {
        List<Guarantee> guarantees = cursor.items(GUARANTEES).stream()
                .map(CapacitySection::guarantee)
                .toList();
        int quota = cursor.read(ACCELERATOR_QUOTA);
        long guaranteed = guarantees.stream()
                .mapToLong(guarantee ->
                        (long) guarantee.count() * guarantee.shape().accelerators())
                .sum();
        if (guaranteed > quota) {
            cursor.report(
                    ACCELERATOR_QUOTA.name(),
                    ProblemCode.CONTRADICTION,
                    "the guarantees take " + guaranteed + " accelerators, more than the quota of " + quota);
        }
        return new WorkspaceCapacity(guarantees, quota, cursor.read(QUEUE_BOUND));
    }

    private static Guarantee guarantee(Cursor cursor) {
        Cursor perPart = cursor.object(PER_PART);
        Resources resources = new Resources(
                perPart.read(CPU),
                Math.toIntExact(perPart.read(MEMORY)),
                perPart.read(ACCELERATORS),
                perPart.read(SLOTS),
                perPart.read(CONNECTIONS));
        return new Guarantee(new Shape(cursor.read(PARTS), resources, cursor.read(ADJACENCY)), cursor.read(COUNT));
    }

    private static LendingPolicy lending(Cursor cursor) {
        long checkpointMs = cursor.read(CHECKPOINT);
        long reclaimBoundMs = cursor.read(RECLAIM_BOUND);
        if (checkpointMs > reclaimBoundMs) {
            cursor.report(
                    CHECKPOINT.name(),
                    ProblemCode.CONTRADICTION,
                    "a checkpoint may take longer than " + RECLAIM_BOUND.name());
        }
        return new LendingPolicy(cursor.read(LENDING_ENABLED), checkpointMs, reclaimBoundMs);
    }

    private static EstimatePolicy estimates(Cursor cursor) {
        double timeOverrun = cursor.read(TIME_OVERRUN_FACTOR);
        if (timeOverrun > 0 && timeOverrun < 1) {
            cursor.report(
                    TIME_OVERRUN_FACTOR.name(),
                    ProblemCode.CONTRADICTION,
                    "would end attempts before their corrected run time; use 0 or at least 1");
        }
        return new EstimatePolicy(
                cursor.read(QUANTILE),
                cursor.read(MIN_SAMPLES),
                cursor.read(MIN_FACTOR),
                cursor.read(MAX_FACTOR),
                timeOverrun,
                cursor.read(MEMORY_OVERRUN_FACTOR));
    }

    private static FaultPolicy faults(Cursor cursor) {
        return new FaultPolicy(
                cursor.read(POISON_WORKERS),
                cursor.read(QUARANTINE_JOBS),
                cursor.read(FAULT_WINDOW),
                cursor.read(PROBE_AFTER));
    }

    private static AdmissionPolicy admission(Cursor cursor) {
        return new AdmissionPolicy(cursor.read(TOTAL_QUEUE_BOUND), cursor.read(RETRY_AFTER));
    }
}
