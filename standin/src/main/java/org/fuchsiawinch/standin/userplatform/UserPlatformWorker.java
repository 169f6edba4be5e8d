package org.fuchsiawinch.standin.userplatform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One worker of the stand-in: starts what it is told, under a fence and one lease. Not thread-safe. */
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
     * A run that goes on.
     *
     * @param number its number
     * @param startedMs when it started, on the worker's clock
     */
    public record Run(int number, long startedMs) {}

    /**
     * A run that ended.
     *
     * @param sequence number of the end
     * @param task the task
     * @param run number of the run
     * @param how the platform's word for how it ended
     */
    public record End(long sequence, String task, int run, String how) {}

    /**
     * Creates a worker that starts now.
     *
     * @param id its id
     * @param bornMs present time in ms since the epoch
     * @param runMs time in ms that each task takes
     */
    public UserPlatformWorker(String id, long bornMs, long runMs) {
        this.id = id;
        this.bornMs = bornMs;
        this.runMs = runMs;
    }

    /**
     * Gives the id.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Gives the start time of this life.
     *
     * @return time in ms since the epoch
     */
    public long bornMs() {
        return bornMs;
    }

    /**
     * Gives the number of runs that were started.
     *
     * @return the number
     */
    public int startedRuns() {
        return startedRuns;
    }

    /**
     * Gives the steady clock.
     *
     * @param nowMs present time in ms since the epoch
     * @return time in ms since the start
     */
    public long clockMs(long nowMs) {
        return nowMs - bornMs;
    }

    /**
     * Starts a run.
     *
     * @param task the task
     * @param run number of the run
     * @param epoch the order's epoch
     * @param untilMs end of the lease on this worker's clock
     * @param nowMs present time in ms since the epoch
     * @return empty text, or the reason for a refusal
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
     * Stops a run.
     *
     * @param task the task
     * @param run number of the run
     * @param epoch the order's epoch
     * @param nowMs present time in ms since the epoch
     * @return false if the epoch is too low
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
     * Renews the lease.
     *
     * @param epoch the order's epoch
     * @param untilMs end of the lease on this worker's clock; 0 for no change
     * @param observed number of the last end that may be forgotten
     * @param nowMs present time in ms since the epoch
     * @return false if the epoch is too low
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
     * Ends what is due.
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
     * Gives what runs.
     *
     * @return runs by task
     */
    public Map<String, Run> running() {
        return Map.copyOf(running);
    }

    /**
     * Gives the ends that are not acknowledged.
     *
     * @return the ends, in order
     */
    public List<End> ends() {
        return List.copyOf(ends);
    }

    /**
     * Gives how much of a run is done.
     *
     * @param run the run
     * @param nowMs present time in ms since the epoch
     * @return percent
     */
    public int percent(Run run, long nowMs) {
        return (int) Math.min(100, 100 * (clockMs(nowMs) - run.startedMs()) / runMs);
    }
}
