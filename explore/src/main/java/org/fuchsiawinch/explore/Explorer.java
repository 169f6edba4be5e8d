package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.ConcurrentModificationException;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.fuchsiawinch.protocol.ProtocolFeature;

/** Runs schedules and checks their histories. Thread-safe. */
final class Explorer {

    private static final Consumer<String> NO_TRACE = line -> {};

    private final Set<ProtocolFeature> features;

    Explorer(Set<ProtocolFeature> features) {
        this.features = features;
    }

    /** Result of one schedule. */
    record Result(Schedule schedule, List<Violation> violations, ScheduleFigures figures) {}

    /** Runs one schedule. An exception thrown in the run is returned as a violation. */
    Result run(Schedule schedule) {
        return run(schedule, NO_TRACE);
    }

    /** Runs one schedule as {@link #run(Schedule)} does and passes each step to {@code trace}. */
    Result run(Schedule schedule, Consumer<String> trace) {
        try {
            History history = new Simulation(schedule, features, trace).run();
            return new Result(schedule, HistoryChecker.check(history), ScheduleFigures.of(history));
        } catch (IllegalStateException
                | IllegalArgumentException
                | NullPointerException
                | IndexOutOfBoundsException
                | UnsupportedOperationException
                | ClassCastException
                | ConcurrentModificationException
                | NoSuchElementException e) {
            String location = e.getStackTrace().length == 0 ? "" : " at " + e.getStackTrace()[0];
            Violation thrown = new Violation(Violation.Promise.NO_EXCEPTION, 0, e + location);
            return new Result(schedule, List.of(thrown), ScheduleFigures.NONE);
        }
    }

    /**
     * Runs the schedules of consecutive seeds on several threads and passes on the results in the order of the seeds.
     * Returns early if the calling thread is interrupted.
     *
     * @param firstSeed first seed
     * @param count number of schedules
     * @param threads number of threads
     * @param results receives the results; returns false to stop early
     */
    void explore(long firstSeed, int count, int threads, Predicate<Result> results) {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            int chunk = threads * 16;
            for (int done = 0; done < count; done += chunk) {
                List<Future<Result>> running = new ArrayList<>();
                for (int index = done; index < Math.min(count, done + chunk); index++) {
                    long seed = firstSeed + index;
                    running.add(pool.submit(() -> run(ScheduleGenerator.generate(seed))));
                }
                for (Future<Result> result : running) {
                    if (!results.test(result.get())) {
                        return;
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }
}
