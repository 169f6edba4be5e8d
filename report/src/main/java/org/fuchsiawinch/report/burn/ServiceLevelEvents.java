package org.fuchsiawinch.report.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.document.ServiceLevel;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.JobRecord;

/** Good and bad events of one service level, oldest first. Immutable. */
final class ServiceLevelEvents {

    private final List<Event> events;

    /** One event; {@code atMs} is the time in ms since the Unix epoch at which its result was known. */
    record Event(long atMs, boolean good) {}

    private ServiceLevelEvents(List<Event> events) {
        this.events = events;
    }

    /** Returns the events of a service level, derived from the jobs of its workspace. */
    static ServiceLevelEvents of(ServiceLevel level, List<JobRecord> jobs) {
        List<Event> events = new ArrayList<>();
        jobs.forEach(job -> eventOf(level, job).ifPresent(events::add));
        events.sort(Comparator.comparingLong(Event::atMs));
        return new ServiceLevelEvents(events);
    }

    private static Optional<Event> eventOf(ServiceLevel level, JobRecord job) {
        return switch (level.kind()) {
            case GUARANTEED_START -> startEvent(level, job);
            case COMPLETION -> completionEvent(level, job);
            case WHOLE_ANSWERS ->
                job.outcome().answerExpected()
                        ? Optional.of(new Event(job.endedMs(), job.wholeAnswer()))
                        : Optional.empty();
        };
    }

    private static Optional<Event> startEvent(ServiceLevel level, JobRecord job) {
        if (!job.guaranteed() || job.outcome() == JobOutcome.REFUSED) {
            return Optional.empty();
        }
        long startOrEndMs = job.startedMs().orElse(job.endedMs());
        boolean late = startOrEndMs - job.submittedMs() > level.thresholdMs().orElse(Long.MAX_VALUE);
        if (job.startedMs().isPresent()) {
            return Optional.of(new Event(startOrEndMs, !late));
        }
        // A job cancelled after the threshold counts as bad; otherwise callers that give up would hide slow starts.
        boolean cancelledInTime = job.outcome() == JobOutcome.CANCELLED && !late;
        return cancelledInTime ? Optional.empty() : Optional.of(new Event(startOrEndMs, false));
    }

    private static Optional<Event> completionEvent(ServiceLevel level, JobRecord job) {
        if (!job.outcome().answerExpected()) {
            return Optional.empty();
        }
        long completionTimeMs = job.endedMs() - job.submittedMs();
        boolean inTime = completionTimeMs <= level.thresholdMs().orElse(Long.MAX_VALUE);
        return Optional.of(new Event(job.endedMs(), job.outcome().ran() && inTime));
    }

    /** Counts the events later than {@code afterMs} and not later than {@code untilMs}. */
    EventCounts count(long afterMs, long untilMs) {
        long good = 0;
        long bad = 0;
        for (Event event : events) {
            boolean inRange = event.atMs() > afterMs && event.atMs() <= untilMs;
            good += inRange && event.good() ? 1 : 0;
            bad += inRange && !event.good() ? 1 : 0;
        }
        return new EventCounts(good, bad);
    }

    List<Event> asList() {
        return events;
    }

    /** Numbers of good and bad events. */
    record EventCounts(long good, long bad) {

        /** Returns the burn rate: the share of bad events divided by the allowed share; 0 without events. */
        double burnRate(double targetShare) {
            long events = good + bad;
            return events == 0 ? 0 : (double) bad / events / (1 - targetShare);
        }
    }
}
