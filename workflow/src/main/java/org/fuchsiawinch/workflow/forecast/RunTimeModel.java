package org.fuchsiawinch.workflow.forecast;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Learns from ended runs how far run times are from the callers' estimates. A forecast rests on the narrowest group
 * with enough completed runs: those of the same queue, workspace, shape and distance; then of any shape; then the
 * workspaces of the queue, each of which has one vote, as has the estimate itself, so that one workspace with odd
 * estimates cannot move the forecast for another. Without enough runs there is none. Not thread-safe.
 */
public final class RunTimeModel {

    /** Maximum number of groups; the one that was used least recently is dropped. */
    static final int MAX_GROUPS = 64;

    /** Maximum number of groups that are stored; about 110 bytes each. */
    static final int MAX_STORED_GROUPS = 24;

    /** Completed runs from which on a group has a forecast; the median of fewer is no better than the estimate. */
    private static final double MIN_OBSERVATIONS = 8;

    private final Map<RunKind, RunTimeDistribution> groups = new LinkedHashMap<>(16, 0.75f, true);

    /** Forecasts for workspaces without runs of their own, by queue and distance; cleared with each run. */
    private final Map<RunKind, Optional<RunTimeForecast>> votes = new HashMap<>();

    private long runs;

    /**
     * State of one group, to be stored.
     *
     * @param kind the group
     * @param weights weights by bin, in quarters of a run; bins of runs that were ended early count from -1 downwards
     */
    public record Group(RunKind kind, Map<Integer, Integer> weights) {

        /** Copies the map. */
        public Group {
            weights = Map.copyOf(weights);
        }
    }

    /**
     * Adds a run that has ended.
     *
     * @param kind its kind
     * @param ratio its run time on a worker of speed 1 as a multiple of the caller's estimate; positive
     * @param completed false if the run was ended early, so that it would have taken longer
     */
    public void add(RunKind kind, double ratio, boolean completed) {
        double logRatio = Math.log(ratio);
        if (!Double.isFinite(logRatio)) {
            return;
        }
        runs++;
        group(kind).add(logRatio, completed);
        group(kind.ofAnyShape()).add(logRatio, completed);
        votes.clear();
    }

    /**
     * Returns a number that rises with each run that is added, and when groups are restored.
     *
     * @return the number
     */
    public long runs() {
        return runs;
    }

    /**
     * Returns the forecast for runs of a kind.
     *
     * @param kind the kind
     * @return the forecast; empty if too few runs are known
     */
    public Optional<RunTimeForecast> forecast(RunKind kind) {
        return known(kind).or(() -> known(kind.ofAnyShape())).or(() -> vote(kind));
    }

    private Optional<RunTimeForecast> known(RunKind kind) {
        return Optional.ofNullable(groups.get(kind)).flatMap(RunTimeModel::forecastOf);
    }

    private static Optional<RunTimeForecast> forecastOf(RunTimeDistribution group) {
        return group.observations() < MIN_OBSERVATIONS ? Optional.empty() : Optional.of(group.forecast());
    }

    /** Returns the median of the forecasts of the queue's workspaces and of the estimate; empty for the latter. */
    private Optional<RunTimeForecast> vote(RunKind kind) {
        return votes.computeIfAbsent(kind.ofAnyShape(), asked -> {
            List<Optional<RunTimeForecast>> cast = new ArrayList<>();
            cast.add(Optional.empty());
            groups.forEach((known, group) -> {
                if (known.shape().isEmpty()
                        && known.queue().equals(asked.queue())
                        && known.remote() == asked.remote()) {
                    forecastOf(group).ifPresent(forecast -> cast.add(Optional.of(forecast)));
                }
            });
            cast.sort(Comparator.comparingDouble(RunTimeModel::median));
            Optional<RunTimeForecast> lower = cast.get((cast.size() - 1) / 2);
            Optional<RunTimeForecast> upper = cast.get(cast.size() / 2);
            // Of an even number the one that is closer to the estimate.
            return Math.abs(median(lower)) <= Math.abs(median(upper)) ? lower : upper;
        });
    }

    private static double median(Optional<RunTimeForecast> forecast) {
        return forecast.map(RunTimeForecast::median).orElse(0.0);
    }

    private RunTimeDistribution group(RunKind kind) {
        RunTimeDistribution group = groups.computeIfAbsent(kind, added -> new RunTimeDistribution());
        if (groups.size() > MAX_GROUPS) {
            groups.remove(groups.keySet().iterator().next());
        }
        return group;
    }

    /**
     * Returns the groups with the most completed runs, which are stored for the next owner.
     *
     * @return at most {@value #MAX_STORED_GROUPS} groups
     */
    public List<Group> groupsToStore() {
        return groups.entrySet().stream()
                .filter(entry -> entry.getValue().observations() > 0)
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue().observations()))
                .limit(MAX_STORED_GROUPS)
                .map(entry -> new Group(entry.getKey(), entry.getValue().weights()))
                .toList();
    }

    /**
     * Restores the groups that an earlier owner has stored.
     *
     * @param stored the groups
     */
    public void restore(List<Group> stored) {
        runs++;
        stored.forEach(group -> group(group.kind()).restore(group.weights()));
        votes.clear();
    }
}
