package org.fuchsiawinch.standin.userplatform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in worker of the users' platform. It rejects orders below its fence (the highest epoch seen), starts runs
 * without a check of free resources, and ends all runs when its one lease expires. Not thread-safe.
 */
public final class UserPlatformWorker {

    private final String id;
    private final long bornMs;
    private final long runMs;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private int startedRuns;
    private long fence;
    private long leaseEndMs;
    private long lastEnd;

    /**
     * Run in progress.
     *
     * @param number number of the run of its task
     * @param startedMs start time in ms on the worker's clock
     */
    public record Run(int number, long startedMs) {}

    /**
     * Run that has ended.
     *
     * @param sequence number of the end on this worker, by which it is acknowledged
     * @param task id of the task
     * @param run number of the run
     * @param how the platform's word for the outcome: {@code done}, {@code stopped} or {@code lapsed}
     */
    public record End(long sequence, String task, int run, String how) {}

    /**
     * Creates a worker without runs.
     *
     * @param id id of the worker
     * @param bornMs start time of the worker in ms since the epoch, the origin of its clock
     * @param runMs run time in ms of every task
     */
    public UserPlatformWorker(String id, long bornMs, long runMs) {
        this.id = id;
        this.bornMs = bornMs;
        this.runMs = runMs;
    }

    /**
     * Returns the id of the worker.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Returns the start time of the worker, which tells a restarted worker from its predecessor of the same id.
     *
     * @return time in ms since the epoch
     */
    public long bornMs() {
        return bornMs;
    }

    /**
     * Returns the number of runs started so far.
     *
     * @return the number of runs
     */
    public int startedRuns() {
        return startedRuns;
    }

    /**
     * Returns the time on the worker's clock.
     *
     * @param nowMs present time in ms since the epoch
     * @return time in ms since the worker's start
     */
    public long clockMs(long nowMs) {
        return nowMs - bornMs;
    }

    /**
     * Starts a run, unless the task is running already.
     *
     * @param task id of the task
     * @param run number of the run
     * @param epoch epoch of the order
     * @param untilMs end of the lease in ms on the worker's clock
     * @param nowMs present time in ms since the epoch
     * @return an empty string on success, otherwise the platform's reason code
     */
    public String start(String task, int run, long epoch, long untilMs, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return "fence";
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, untilMs);
        if (barred.getOrDefault(task, 0) >= run) {
            return "old";
        }
        if (untilMs <= clockMs(nowMs)) {
            return "late";
        }
        if (!running.containsKey(task)) {
            running.put(task, new Run(run, clockMs(nowMs)));
            startedRuns++;
        }
        return "";
    }

    /**
     * Stops a run and rejects later starts of it and of earlier runs of the task.
     *
     * @param task id of the task
     * @param run number of the run
     * @param epoch epoch of the order
     * @param nowMs present time in ms since the epoch
     * @return false if the epoch is below the fence
     */
    public boolean stop(String task, int run, long epoch, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        barred.merge(task, run, Math::max);
        Run present = running.get(task);
        if (present != null && present.number() == run) {
            end(task, present, "stopped");
        }
        return true;
    }

    /**
     * Renews the lease and drops the acknowledged ends.
     *
     * @param epoch epoch of the order
     * @param untilMs end of the lease in ms on the worker's clock; 0 leaves it unchanged
     * @param observed number of the last acknowledged end
     * @param nowMs present time in ms since the epoch
     * @return false if the epoch is below the fence
     */
    public boolean hold(long epoch, long untilMs, long observed, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, untilMs);
        ends.removeIf(end -> end.sequence() <= observed);
        return true;
    }

    /**
     * Ends the runs that are complete and, once the lease has expired, all runs.
     *
     * @param nowMs present time in ms since the epoch
     */
    public void advance(long nowMs) {
        long clockMs = clockMs(nowMs);
        Map.copyOf(running).forEach((task, run) -> {
            if (clockMs > leaseEndMs) {
                end(task, run, "lapsed");
            } else if (clockMs - run.startedMs() >= runMs) {
                end(task, run, "done");
            }
        });
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        barred.merge(task, run.number(), Math::max);
        ends.add(new End(++lastEnd, task, run.number(), how));
    }

    /**
     * Returns the runs in progress.
     *
     * @return runs by id of the task
     */
    public Map<String, Run> running() {
        return Map.copyOf(running);
    }

    /**
     * Returns the ended runs that are not acknowledged yet.
     *
     * @return the ended runs in the order of their ends
     */
    public List<End> ends() {
        return List.copyOf(ends);
    }

    /**
     * Returns the progress of a run.
     *
     * @param run the run
     * @param nowMs present time in ms since the epoch
     * @return progress in percent, at most 100
     */
    public int percent(Run run, long nowMs) {
        return (int) Math.min(100, 100 * (clockMs(nowMs) - run.startedMs()) / runMs);
    }
}
