package org.fuchsiawinch.bench;

/** Prints a scheduler's heap use in bytes per worker, task and queued job, measured as differences of used heap. */
public final class StateSizeProbe {

    private static final int[] WORKERS = {30, 300, 3_000, 7_600};
    private static final int[] QUEUES = {0, 1_000, 10_000};
    private static final int GC_RUNS = 3;

    private StateSizeProbe() {}

    /**
     * Prints the table.
     *
     * @param args ignored
     */
    public static void main(String[] args) {
        System.out.printf(
                "%8s %8s %8s %8s %12s %10s %10s %10s%n",
                "workers", "jobs", "tasks", "queue", "total-bytes", "B/worker", "B/task", "B/waiting");
        for (int workers : WORKERS) {
            for (int queue : QUEUES) {
                printRow(workers, queue);
            }
        }
    }

    private static void printRow(int workers, int queue) {
        long before = usedBytes();
        LoadedCell cell = new LoadedCell(workers);
        long idle = usedBytes();
        cell.fill();
        long filled = usedBytes();
        int jobs = cell.jobs();
        cell.enqueue(queue);
        long queued = usedBytes();
        System.out.printf(
                "%8d %8d %8d %8d %12d %10d %10d %10d%n",
                workers,
                jobs,
                cell.tasks(),
                queue,
                queued - before,
                (idle - before) / workers,
                (filled - idle) / Math.max(1, cell.tasks()),
                (queued - filled) / Math.max(1, queue));
    }

    private static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
