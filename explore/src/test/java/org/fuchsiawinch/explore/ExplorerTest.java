package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.fuchsiawinch.protocol.ProtocolFeature;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Runs the default range of schedules, which must break no promise, and tests determinism and shrinking. */
public class ExplorerTest {

    private static final int SCHEDULES = 2000;
    private static final long FIRST_SEED = 1;
    private static final int THREADS = 4;

    private final Explorer explorer = new Explorer(ProtocolFeature.defaults());

    @Test
    public void schedulesBreakNoPromise() {
        List<String> failures = new ArrayList<>();
        explorer.explore(FIRST_SEED, SCHEDULES, THREADS, result -> {
            if (!result.violations().isEmpty()) {
                failures.add(describe(result));
            }
            return failures.size() < 3;
        });
        assertTrue(failures.isEmpty(), String.join("\n", failures));
    }

    @Test
    public void sameSeedGivesSameHistory() {
        for (long seed = 100; seed < 110; seed++) {
            assertEquals(trace(seed), trace(seed));
        }
    }

    @Test
    public void shrinkingKeepsOnlyRequiredEvents() {
        Schedule schedule = ScheduleGenerator.generate(7);
        ScheduleEvent required = schedule.events().get(schedule.events().size() / 2);
        Schedule shrunk =
                Shrinker.shrink(schedule, candidate -> candidate.events().contains(required));
        assertEquals(shrunk.events(), List.of(required));
    }

    private String describe(Explorer.Result result) {
        Violation first = result.violations().get(0);
        Predicate<Schedule> fails = schedule -> explorer.run(schedule).violations().stream()
                .anyMatch(violation -> violation.promise() == first.promise());
        Schedule shrunk = Shrinker.shrink(result.schedule(), fails);
        return "seed " + result.schedule().seed() + ": " + first + " by " + shrunk.events();
    }

    private List<String> trace(long seed) {
        List<String> lines = new ArrayList<>();
        explorer.run(ScheduleGenerator.generate(seed), lines::add);
        return lines.stream()
                .map(line -> line.replaceAll("\\[B@[0-9a-f]+", "bytes"))
                .toList();
    }
}
