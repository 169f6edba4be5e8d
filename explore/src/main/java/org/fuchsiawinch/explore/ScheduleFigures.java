package org.fuchsiawinch.explore;

import java.util.List;
import java.util.Optional;

/**
 * Figures measured in one schedule. Durations are virtual, in ms.
 *
 * @param takeoverMs durations from the kill of an owner until another node owns the cell
 * @param calmTakeoverMs durations of the takeovers with no fault other than lost workers within 15 s before or after
 * @param records number of records appended to the log
 * @param jobs number of jobs submitted
 * @param documentMs durations from the first node that has a new document version in force until each node has it
 */
record ScheduleFigures(List<Long> takeoverMs, List<Long> calmTakeoverMs, int records, int jobs, List<Long> documentMs) {

    private static final long CALM_WINDOW_MS = 15_000;
    static final ScheduleFigures NONE = new ScheduleFigures(List.of(), List.of(), 0, 0, List.of());

    ScheduleFigures {
        takeoverMs = List.copyOf(takeoverMs);
        calmTakeoverMs = List.copyOf(calmTakeoverMs);
        documentMs = List.copyOf(documentMs);
    }

    static ScheduleFigures of(History history) {
        List<Observation.CellActive> active = history.of(Observation.CellActive.class);
        List<Long> takeovers = history.of(Observation.OwnerDied.class).stream()
                .map(died -> nextActive(active, died.atMs()))
                .flatMap(Optional::stream)
                .toList();
        int jobs = (int) history.of(Observation.Submitted.class).stream()
                .map(Observation.Submitted::job)
                .distinct()
                .count();
        List<Long> calm = history.of(Observation.OwnerDied.class).stream()
                .filter(died -> isCalm(history.schedule(), died.atMs()))
                .map(died -> nextActive(active, died.atMs()))
                .flatMap(Optional::stream)
                .toList();
        return new ScheduleFigures(takeovers, calm, history.appended(), jobs, documentDelays(history));
    }

    private static boolean isCalm(Schedule schedule, long diedMs) {
        return schedule.events().stream()
                .filter(ScheduleFigures::disturbsTakeover)
                .filter(event -> event.atMs() != diedMs || event instanceof ScheduleEvent.AllNodesKilled)
                .noneMatch(event -> Math.abs(event.atMs() - diedMs) < CALM_WINDOW_MS);
    }

    private static boolean disturbsTakeover(ScheduleEvent event) {
        boolean work = event instanceof ScheduleEvent.Submit
                || event instanceof ScheduleEvent.Cancel
                || event instanceof ScheduleEvent.DocumentRace;
        return !work && !(event instanceof ScheduleEvent.WorkerLost);
    }

    private static Optional<Long> nextActive(List<Observation.CellActive> active, long diedMs) {
        return active.stream()
                .map(Observation.CellActive::atMs)
                .filter(atMs -> atMs > diedMs)
                .findFirst()
                .map(atMs -> atMs - diedMs);
    }

    private static List<Long> documentDelays(History history) {
        List<Observation.DocumentInForce> inForce = history.of(Observation.DocumentInForce.class);
        return inForce.stream()
                .filter(seen -> seen.version() > 1)
                .map(seen -> seen.atMs()
                        - inForce.stream()
                                .filter(other -> other.version() == seen.version())
                                .mapToLong(Observation.DocumentInForce::atMs)
                                .min()
                                .orElse(seen.atMs()))
                .toList();
    }
}
