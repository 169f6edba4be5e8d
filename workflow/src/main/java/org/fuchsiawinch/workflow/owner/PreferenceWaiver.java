package org.fuchsiawinch.workflow.owner;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.workflow.job.JobState;

/**
 * Bounds the time for which a job waits for better workers: if nothing of it has run for a while although a unit is
 * ready, and much capacity is free, the preferences are waived for one unit, the cheapest ones first. While most
 * capacity is in use the preferences stand, since better workers soon become free and waived ones cost other work. Not
 * thread-safe.
 */
final class PreferenceWaiver {

    /** Time in ms for which a job stands, while much capacity is free, before preferences are waived. */
    private static final long FIRST_WAIVER_MS = 1000;

    /** Time in ms for which a job stands before its preference for one rack is waived too. */
    private static final long RACK_WAIVER_MS = 1500;

    /** Time in ms for which a job stands before the quarantine of workers is waived too. */
    private static final long QUARANTINE_WAIVER_MS = 1750;

    /** Share of a service's capacity in use from which on no preference is waived for it. */
    private static final double MAX_USE = 0.5;

    /** Time in ms after which a unit that did not fit is tried again. */
    private static final long RETRY_MS = 200;

    /** Maximum number of jobs for which a pass waives preferences; those that are due for longest come first. */
    private static final int MAX_JOBS_PER_PASS = 20;

    /** Minimum time in ms between two looks at the jobs; far below the bounds. */
    private static final long LOOK_INTERVAL_MS = 50;

    private final CellState state;

    /** Jobs of which a unit is ready and nothing runs. */
    private final Map<JobState, Wait> waits = new LinkedHashMap<>();

    private long lastLookMs = Long.MIN_VALUE / 2;

    PreferenceWaiver(CellState state) {
        this.state = state;
    }

    /** The wait of a job for better workers. */
    private static final class Wait {

        private long updatedMs;

        /** Time in ms for which the job has stood while much capacity was free. */
        private long standingMs;

        /** Time in ms before which the job is not tried again. */
        private long retryMs;

        private Wait(long nowMs) {
            this.updatedMs = nowMs;
        }

        private void update(boolean muchIsFree, long nowMs) {
            standingMs += muchIsFree ? nowMs - updatedMs : 0;
            updatedMs = nowMs;
        }
    }

    /** Forgets all waits, as no job has a unit that is ready. */
    void clear() {
        waits.clear();
    }

    /** Returns whether enough time has passed since the last look at the jobs. */
    boolean lookDue(long nowMs) {
        return nowMs - lastLookMs >= LOOK_INTERVAL_MS;
    }

    /** Returns the jobs for which the pass may waive preferences, of those with a unit that is ready. */
    List<JobState> due(Set<JobState> ready, Placer placer, long nowMs) {
        lastLookMs = nowMs;
        waits.keySet().retainAll(ready);
        Map<String, Boolean> muchIsFree = new HashMap<>();
        for (JobState job : ready) {
            if (state.runIndex.anyRun(job, run -> !run.stopping && !run.worker.silent(nowMs))) {
                waits.remove(job);
            } else {
                boolean free = muchIsFree.computeIfAbsent(
                        job.submission().service(), service -> placer.shareInUse(service) < MAX_USE);
                waits.computeIfAbsent(job, added -> new Wait(nowMs)).update(free, nowMs);
            }
        }
        return waits.entrySet().stream()
                .filter(entry -> entry.getValue().standingMs >= FIRST_WAIVER_MS && nowMs >= entry.getValue().retryMs)
                .sorted(Comparator.comparingLong(entry -> entry.getValue().retryMs))
                .limit(MAX_JOBS_PER_PASS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether a unit of a job that is due may be placed with preferences waived. */
    boolean mayWaive(SchedulingUnit unit, Placer placer) {
        return placer.shareInUse(unit.job().submission().service()) < MAX_USE && placer.holdsTwice(unit);
    }

    /** Returns the sets of preferences to waive for a job that is due, in the order in which to try them. */
    List<Set<Placer.Preference>> waivers(JobState job) {
        long standingMs = waits.get(job).standingMs;
        return EnumSet.allOf(Placer.Preference.class).stream()
                .filter(last -> standingMs >= waiverMs(last))
                .<Set<Placer.Preference>>map(last -> EnumSet.range(Placer.Preference.HEADROOM, last))
                .toList();
    }

    private static long waiverMs(Placer.Preference preference) {
        return switch (preference) {
            case HEADROOM, RESERVATION -> FIRST_WAIVER_MS;
            case RACK -> RACK_WAIVER_MS;
            case QUARANTINE -> QUARANTINE_WAIVER_MS;
        };
    }

    /** Records that no unit of a job that is due could be placed. */
    void failed(JobState job, long nowMs) {
        waits.get(job).retryMs = nowMs + RETRY_MS;
    }
}
