package org.fuchsiawinch.workflow.owner;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.workflow.job.JobState;

/**
 * Observes jobs of which nothing runs, and logs those that stand for long with the reason. Decides nothing. Not
 * thread-safe.
 */
final class StandingJobs {

    private static final long CHECK_INTERVAL_MS = 500;

    /** Time in ms for which a job has to stand before it is logged; the interval to its next line doubles each time. */
    private static final long FIRST_LINE_MS = 2000;

    /** Maximum number of lines of one check; the jobs that have stood for longest come first. */
    private static final int MAX_LINES = 5;

    private final CellState state;
    private final Scheduler scheduler;

    /** Jobs of which nothing runs, by id. */
    private final Map<String, Standing> standing = new HashMap<>();

    private long lastCheckMs = Long.MIN_VALUE / 2;

    StandingJobs(CellState state, Scheduler scheduler) {
        this.state = state;
        this.scheduler = scheduler;
    }

    /** A job of which nothing runs. */
    private static final class Standing {

        private final JobState job;
        private final long sinceMs;
        private long nextLineMs;

        private Standing(JobState job, long sinceMs) {
            this.job = job;
            this.sinceMs = sinceMs;
            this.nextLineMs = sinceMs + FIRST_LINE_MS;
        }
    }

    /** Returns the number of jobs of which nothing ran at the last check. */
    int count() {
        return standing.size();
    }

    /** Returns the longest time in ms for which nothing of a job has run; 0 if something of each runs. */
    long longestMs(long nowMs) {
        return standing.values().stream()
                .mapToLong(job -> nowMs - job.sinceMs)
                .max()
                .orElse(0);
    }

    /** Updates the standing jobs and logs those that are due. */
    void check(boolean fleetKnown, long appendAgeMs, long nowMs) {
        if (nowMs - lastCheckMs < CHECK_INTERVAL_MS) {
            return;
        }
        lastCheckMs = nowMs;
        Set<String> open = new HashSet<>();
        for (JobState job : state.openJobs.values()) {
            if (!job.phase().ended() && !running(job, nowMs)) {
                open.add(job.submission().id());
                standing.computeIfAbsent(job.submission().id(), id -> new Standing(job, nowMs));
            }
        }
        standing.keySet().retainAll(open);
        standing.values().stream()
                .filter(job -> nowMs >= job.nextLineMs)
                .sorted(Comparator.comparingLong(job -> job.sinceMs))
                .limit(MAX_LINES)
                .forEach(job -> log(job, fleetKnown, appendAgeMs, nowMs));
    }

    /** Returns whether a worker that answers runs anything of a job. */
    private boolean running(JobState job, long nowMs) {
        return state.runIndex.runsOf(job).stream()
                .anyMatch(run -> run.stage == ActiveRun.Stage.RUNNING && !run.worker.silent(nowMs));
    }

    private void log(Standing job, boolean fleetKnown, long appendAgeMs, long nowMs) {
        long standingMs = nowMs - job.sinceMs;
        job.nextLineMs = nowMs + standingMs;
        List<ActiveRun> runs = state.runIndex.runsOf(job.job);
        Optional<ActiveRun> run = runs.stream().findFirst();
        state.log.line(
                "job-standing",
                "request",
                job.job.submission().id(),
                "workspace",
                job.job.submission().workspace().value(),
                "queue",
                job.job.submission().queue(),
                "standingMs",
                standingMs,
                "others",
                standing.size() - 1,
                "cause",
                fleetKnown ? cause(job.job, nowMs) : "fleet-unknown",
                "appendAgeMs",
                appendAgeMs,
                "runs",
                runs.size(),
                "run",
                run.map(held -> held.id.toString()).orElse("none"),
                "stage",
                run.map(held -> held.stage.toString()).orElse("none"),
                "worker",
                run.map(held -> held.worker.id.toString()).orElse("none"),
                "silentMs",
                run.map(held -> held.worker.silentMs(nowMs)).orElse(0L),
                "leaseLeftMs",
                run.map(held -> held.worker.leaseLeftText(nowMs)).orElse("none"));
    }

    /** Returns why nothing of a job is started. */
    private String cause(JobState job, long nowMs) {
        Optional<SchedulingUnit> unit = scheduler.readyUnit(job);
        if (unit.isEmpty()) {
            return "held-by-runs";
        }
        Placer placer = new Placer(state, nowMs);
        if (placer.fits(unit.get(), Set.of())) {
            return "after-other-work";
        }
        Set<Placer.Preference> waived = EnumSet.noneOf(Placer.Preference.class);
        for (Placer.Preference preference : Placer.Preference.values()) {
            waived.add(preference);
            if (placer.fits(unit.get(), EnumSet.copyOf(waived))) {
                return preference.toString().toLowerCase(Locale.ROOT);
            }
        }
        return "no-capacity";
    }
}
