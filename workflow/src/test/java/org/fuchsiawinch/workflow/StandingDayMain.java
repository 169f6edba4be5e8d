package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/** Simulates days from seeds and prints which jobs stood and why. Arguments: number of seeds, first seed. */
public final class StandingDayMain {

    private StandingDayMain() {}

    public static void main(String[] arguments) {
        int seeds = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 100;
        long first = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
        Map<String, Integer> causes = new TreeMap<>();
        List<StandingRule> rules = LongStream.range(first, first + seeds)
                .parallel()
                .mapToObj(seed -> new StandingDay(seed).simulate())
                .toList();
        int days = 0;
        for (int i = 0; i < seeds; i++) {
            StandingRule rule = rules.get(i);
            rule.causes().forEach((cause, count) -> causes.merge(cause, count, Integer::sum));
            days += rule.violations().isEmpty() ? 0 : 1;
            for (StandingRule.Violation violation : rule.violations()) {
                System.out.printf("seed=%d %s%n", first + i, violation);
            }
        }
        System.out.printf("seeds=%d days=%d causes=%s%n", seeds, days, causes);
    }
}
