package org.fuchsiawinch.standin.userplatform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Decides how the runs of workers end, and hears of their starts and ends. One instance may serve several workers. */
public interface RunModel {

    /**
     * Run on a worker.
     *
     * @param worker id of the worker
     * @param task id of the task
     * @param number number of the run of its task
     */
    record RunId(String worker, String task, int number) {}

    /**
     * Hears that a run has begun.
     *
     * @param run the run
     * @param nowMs present time in ms since the Unix epoch
     */
    void started(RunId run, long nowMs);

    /**
     * Returns how a run has ended of itself.
     *
     * @param run a run that has begun and has not ended
     * @param nowMs present time in ms since the Unix epoch
     * @return the platform's outcome code; empty while the run goes on
     */
    Optional<String> outcome(RunId run, long nowMs);

    /**
     * Returns the progress of a run.
     *
     * @param run a run that has begun and has not ended
     * @param nowMs present time in ms since the Unix epoch
     * @return progress in percent, 0 to 100
     */
    int percent(RunId run, long nowMs);

    /**
     * Hears that a run has ended, of itself or otherwise.
     *
     * @param run the run
     * @param outcome the platform's outcome code
     * @param nowMs present time in ms since the Unix epoch
     */
    void ended(RunId run, String outcome, long nowMs);

    /**
     * Hears that the end of a run was acknowledged.
     *
     * @param run the run
     * @param outcome the platform's outcome code
     * @param leaseHeld whether the worker's lease held all the time between the end and its acknowledgement
     */
    void acknowledged(RunId run, String outcome, boolean leaseHeld);

    /**
     * Returns a model in which each run succeeds after the same time.
     *
     * @param runMs the time in ms; above 0
     * @return the model, for one worker
     */
    static RunModel lasting(long runMs) {
        Map<RunId, Long> startsMs = new HashMap<>();
        return new RunModel() {
            @Override
            public void started(RunId run, long nowMs) {
                startsMs.put(run, nowMs);
            }

            @Override
            public Optional<String> outcome(RunId run, long nowMs) {
                return nowMs - startsMs.get(run) >= runMs ? Optional.of("done") : Optional.empty();
            }

            @Override
            public int percent(RunId run, long nowMs) {
                return (int) Math.min(100, 100 * (nowMs - startsMs.get(run)) / runMs);
            }

            @Override
            public void ended(RunId run, String outcome, long nowMs) {
                startsMs.remove(run);
            }

            @Override
            public void acknowledged(RunId run, String outcome, boolean leaseHeld) {
                // Nothing is kept of ended runs.
            }
        };
    }
}
