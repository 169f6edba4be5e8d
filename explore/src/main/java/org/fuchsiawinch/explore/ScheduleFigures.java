package org.fuchsiawinch.explore;

import java.util.List;
import java.util.Optional;

/**
 * What one schedule measured.
 *
 * @param takeOverMs virtual times in ms from an owner's death until another node schedules the cell
 * @param records number of records in the log
 * @param jobs number of jobs submitted
 * @param documentMs virtual times in ms from an accepted change until it is in force on a node
 */
record ScheduleFigures(List<Long> takeOverMs, int records, int jobs, List<Long> documentMs) {

    static final ScheduleFigures NONE = new ScheduleFigures(List.of(), 0, 0, List.of());

    ScheduleFigures {
        takeOverMs = List.copyOf(takeOverMs);
        documentMs = List.copyOf(documentMs);
    }

    static ScheduleFigures of(History history) {
        List<Observation.CellActive> active = history.of(Observation.CellActive.class);
        List<Long> takeOvers = history.of(Observation.OwnerDied.class).stream()
                .map(died -> nextActive(active, died.atMs()))
                .flatMap(Optional::stream)
                .toList();
        int jobs = (int) history.of(Observation.Submitted.class).stream()
                .map(Observation.Submitted::job)
                .distinct()
                .count();
        return new ScheduleFigures(takeOvers, history.appended(), jobs, documentDelays(history));
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
