package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

/**
 * Prints the utility of simulated days at both sites, as means over seeds: {@code worth} is the utility of the day,
 * {@code whole}, {@code windows} and the queues' names are the shares of {@link DayModel.Result}, and {@code waste} is
 * the cost of wasted work. Arguments: number of seeds (default 40), first seed (default 1).
 */
public final class DayModelMain {

    /** Load profiles that the users simulate, each with a burst of urgent jobs, by name. */
    static final Map<String, DayWorkload.LoadProfile> LOAD_PROFILES = new TreeMap<>(Map.of(
            "quiet", new DayWorkload.LoadProfile(0.56, 2.1, 10_000, 6000),
            "trouble", new DayWorkload.LoadProfile(0.87, 2.2, 1000, 6000),
            "scale", new DayWorkload.LoadProfile(1.1, 2.2, 2500, 6000)));

    private DayModelMain() {}

    public static void main(String[] arguments) {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 40;
        long first = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        for (SiteModel site : List.of(SiteModel.lagilagi(), SiteModel.bureau())) {
            LOAD_PROFILES.forEach((name, profile) -> {
                List<DayModel.Result> results = LongStream.range(first, first + seeds)
                        .parallel()
                        .mapToObj(seed -> new DayModel(site, profile, seed).simulate())
                        .toList();
                System.out.println(line(site.name(), name, results));
            });
        }
    }

    private static String line(String site, String profile, List<DayModel.Result> results) {
        List<String> parts = new ArrayList<>();
        parts.add(String.format("site=%s day=%s seeds=%d", site, profile, results.size()));
        parts.add(mean("worth", results, DayModel.Result::utility));
        parts.add(mean("whole", results, DayModel.Result::whole));
        parts.add(mean("windows", results, DayModel.Result::windows));
        for (String queue : results.get(0).queues().keySet()) {
            parts.add(mean(queue, results, result -> result.queues().getOrDefault(queue, 1.0)));
        }
        parts.add(mean("waste", results, DayModel.Result::wasteCost));
        return String.join(" ", parts);
    }

    private static String mean(String name, List<DayModel.Result> results, ToDoubleFunction<DayModel.Result> measure) {
        return String.format(
                "%s=%.3f", name, results.stream().mapToDouble(measure).average().orElse(0));
    }
}
