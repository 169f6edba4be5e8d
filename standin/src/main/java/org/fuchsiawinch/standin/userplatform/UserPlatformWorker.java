package org.fuchsiawinch.standin.userplatform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stand-in worker of the users' platform. It rejects orders below its fence (the highest epoch seen), starts runs
 * without a check of free resources, and ends all runs when its one lease expires. Not thread-safe.
 */
public final class UserPlatformWorker {

    private final String id;
    private final long startTimeMs;
    private final RunModel model;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestEndedRun = new HashMap<>();
    private final List<EndedRun> endedRuns = new ArrayList<>();
    private int startedRuns;
    private long fence;
    private long leaseEndMs;
    private long lastEndSequence;
    private long lastLapsedSequence;

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
     * @param outcome the platform's outcome code: {@code stopped} (by an order), {@code lapsed} (lease
     *     expired) or an outcome of the worker's model, such as {@code done}
     */
    public record EndedRun(long sequence, String task, int run, String outcome) {}

    /**
     * Creates a worker without runs.
     *
     * @param id id of the worker
     * @param startTimeMs start time of the worker in ms since the Unix epoch, the origin of its clock
     * @param runMs run time in ms of every task; above 0
     */
    public UserPlatformWorker(String id, long startTimeMs, long runMs) {
        this(id, startTimeMs, RunModel.lasting(runMs));
    }

    /**
     * Creates a worker without runs.
     *
     * @param id id of the worker
     * @param startTimeMs start time of the worker in ms since the Unix epoch, the origin of its clock
     * @param model decides how runs end
     */
    public UserPlatformWorker(String id, long startTimeMs, RunModel model) {
        this.id = id;
        this.startTimeMs = startTimeMs;
        this.model = model;
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
     * @return time in ms since the Unix epoch
     */
    public long startTimeMs() {
        return startTimeMs;
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
     * @param nowMs present time in ms since the Unix epoch
     * @return time in ms since the worker's start
     */
    public long clockMs(long nowMs) {
        return nowMs - startTimeMs;
    }

    /**
     * Starts a run. If the task is running already, whatever the number of its run, only the lease is renewed.
     *
     * @param task id of the task
     * @param run number of the run
     * @param epoch epoch of the order
     * @param newLeaseEndMs end of the lease in ms on the worker's clock
     * @param nowMs present time in ms since the Unix epoch
     * @return an empty string on success, otherwise the platform's reason code: {@code fence} (epoch below the fence),
     *     {@code old} (this or a later run of the task has ended) or {@code late} (the lease is over already)
     */
    public String start(String task, int run, long epoch, long newLeaseEndMs, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return "fence";
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, newLeaseEndMs);
        if (highestEndedRun.getOrDefault(task, 0) >= run) {
            return "old";
        }
        if (newLeaseEndMs <= clockMs(nowMs)) {
            return "late";
        }
        if (!running.containsKey(task)) {
            running.put(task, new Run(run, clockMs(nowMs)));
            model.started(runId(task, run), nowMs);
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
     * @param nowMs present time in ms since the Unix epoch
     * @return false if the epoch is below the fence
     */
    public boolean stop(String task, int run, long epoch, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        highestEndedRun.merge(task, run, Math::max);
        Run current = running.get(task);
        if (current != null && current.number() == run) {
            endRun(task, current, "stopped", nowMs);
        }
        return true;
    }

    /**
     * Renews the lease and drops the acknowledged ended runs.
     *
     * @param epoch epoch of the order
     * @param newLeaseEndMs end of the lease in ms on the worker's clock; 0 leaves it unchanged
     * @param acknowledgedSequence number of the last acknowledged end
     * @param nowMs present time in ms since the Unix epoch
     * @return false if the epoch is below the fence
     */
    public boolean renewLease(long epoch, long newLeaseEndMs, long acknowledgedSequence, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, newLeaseEndMs);
        endedRuns.stream()
                .filter(end -> end.sequence() <= acknowledgedSequence)
                .forEach(end -> model.acknowledged(
                        runId(end.task(), end.run()), end.outcome(), end.sequence() > lastLapsedSequence));
        endedRuns.removeIf(end -> end.sequence() <= acknowledgedSequence);
        return true;
    }

    /**
     * Returns whether a held renewal has to be answered.
     *
     * @param epoch epoch of the renewal
     * @return whether an end is unacknowledged or the epoch is below the fence
     */
    boolean answersHeldRenewal(long epoch) {
        return fenced(epoch) || !endedRuns.isEmpty();
    }

    /**
     * Returns whether orders of an epoch are rejected.
     *
     * @param epoch the epoch
     * @return whether it is below the fence
     */
    boolean fenced(long epoch) {
        return epoch < fence;
    }

    /**
     * Ends the runs that are complete and, once the lease has expired, all runs.
     *
     * @param nowMs present time in ms since the Unix epoch
     */
    public void advance(long nowMs) {
        boolean leaseExpired = clockMs(nowMs) > leaseEndMs;
        if (leaseExpired) {
            lastLapsedSequence = lastEndSequence;
        }
        if (running.isEmpty()) {
            return;
        }
        Map.copyOf(running).forEach((task, run) -> {
            Optional<String> outcome =
                    leaseExpired ? Optional.of("lapsed") : model.outcome(runId(task, run.number()), nowMs);
            outcome.ifPresent(how -> endRun(task, run, how, nowMs));
        });
    }

    private RunModel.RunId runId(String task, int number) {
        return new RunModel.RunId(id, task, number);
    }

    private void endRun(String task, Run run, String outcome, long nowMs) {
        running.remove(task);
        model.ended(runId(task, run.number()), outcome, nowMs);
        highestEndedRun.merge(task, run.number(), Math::max);
        endedRuns.add(new EndedRun(++lastEndSequence, task, run.number(), outcome));
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
    public List<EndedRun> endedRuns() {
        return List.copyOf(endedRuns);
    }

    /**
     * Returns the progress of a run.
     *
     * @param task id of a task that is running
     * @param nowMs present time in ms since the Unix epoch
     * @return progress in percent, at most 100
     */
    public int progressPercent(String task, long nowMs) {
        return model.percent(runId(task, running.get(task).number()), nowMs);
    }
}
