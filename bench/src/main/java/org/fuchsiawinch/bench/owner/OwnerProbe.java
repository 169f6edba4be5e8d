package org.fuchsiawinch.bench.owner;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Prints what an owner costs under each load: durations of its calls, processor time and allocated bytes per second of
 * simulated time. Every load is played twice and the second time is printed.
 */
public final class OwnerProbe {

    private static final int[] DEFAULT_WORKERS = {40, 120, 370, 1000};
    private static final long SETTLE_MS = 1500;
    private static final long MEASURED_MS = 2000;
    private static final double MS_PER_S = 1000;
    private static final long RUN_MS = 4000;
    private static final int FLAPPING_WORKERS = 30;

    private final int workers;
    private int jobs;

    private OwnerProbe(int workers) {
        this.workers = workers;
    }

    /**
     * Runs the probe.
     *
     * @param arguments name of a load, or all; then numbers of workers
     */
    public static void main(String[] arguments) {
        String load = arguments.length == 0 ? "all" : arguments[0];
        int[] sizes = arguments.length < 2
                ? DEFAULT_WORKERS
                : Arrays.stream(arguments).skip(1).mapToInt(Integer::parseInt).toArray();
        List<String> loads = List.of("tasks", "mixed", "gangs", "reclaim", "flapping", "takeover", "list");
        if (!load.equals("all") && !loads.contains(load)) {
            System.err.println("unknown load " + load + "; expected all or one of " + loads);
            System.exit(2);
        }
        for (String name : loads) {
            for (int size : load.equals("all") || load.equals(name) ? sizes : new int[0]) {
                new OwnerProbe(size).play(name);
                System.out.println("load=" + name + " workers=" + size + " " + new OwnerProbe(size).play(name));
            }
        }
    }

    private String play(String load) {
        SimulatedCell cell = new SimulatedCell(workers);
        cell.takeOver();
        cell.run(SETTLE_MS);
        if (!List.of("tasks", "mixed", "gangs").contains(load)) {
            submitLent(cell);
            cell.run(SETTLE_MS);
        }
        long startedBefore = cell.startedRuns();
        cell.costs.reset();
        switch (load) {
            case "tasks" -> submitAtOnce(cell, 2 * workers, 2);
            case "mixed" -> submitAtOnce(cell, 2 * workers, 0);
            case "gangs" -> submitGangs(cell, workers / 2);
            case "reclaim" -> submitGuaranteed(cell);
            case "flapping" -> cell.restartWorkers(Math.min(FLAPPING_WORKERS, workers / 2));
            case "takeover" -> cell.takeOver();
            default -> cell.listWorkers();
        }
        cell.run(MEASURED_MS);
        return cell.costs.text(MEASURED_MS / MS_PER_S) + " started=" + (cell.startedRuns() - startedBefore);
    }

    /** Submits jobs of four or eight tasks with one or four accelerators, of priorities from the given one to 2. */
    private void submitAtOnce(SimulatedCell cell, int count, int mostUrgent) {
        for (int i = 0; i < count; i++) {
            int tasks = i % 3 == 0 ? 8 : 4;
            int accelerators = i % 2 == 0 ? 1 : 4;
            cell.submit(job(cell, mostUrgent + i % (3 - mostUrgent), step(tasks, accelerators, false)));
        }
    }

    private void submitGangs(SimulatedCell cell, int count) {
        for (int i = 0; i < count; i++) {
            cell.submit(job(cell, i % 3, step(i % 2 == 0 ? 4 : 8, i % 2 == 0 ? 8 : 4, true)));
        }
    }

    /** Fills all workers with work outside of guarantees, and leaves as much waiting. */
    private void submitLent(SimulatedCell cell) {
        for (int i = 0; i < workers; i++) {
            cell.submit(job(cell, 2, step(16, 1, false)));
        }
    }

    private void submitGuaranteed(SimulatedCell cell) {
        for (int i = 0; i < workers / 4; i++) {
            cell.submit(job(cell, 0, step(4, 4, i % 2 == 0)));
        }
    }

    private Submission job(SimulatedCell cell, int priority, StepSpec step) {
        int number = jobs++;
        return new Submission(
                String.format("%016x", number),
                "q" + priority,
                "desk",
                SimulatedCell.workspace(number),
                new Submission.QueueRules(priority, 3, priority == 0 ? 1.5 : 3, 500),
                cell.nowMs(),
                "payload",
                List.of(step));
    }

    private static StepSpec step(int count, int accelerators, boolean gang) {
        return new StepSpec(
                count,
                new Resources(1000, 1000, accelerators, 0, 0),
                RUN_MS,
                List.of(),
                gang,
                false,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }
}
