package org.fuchsiawinch.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Reduces the events of a schedule by delta debugging while it still breaks a promise. */
final class Shrinker {

    private Shrinker() {}

    /** Returns the schedule with a reduced list of events for which {@code fails} still holds. */
    static Schedule shrink(Schedule schedule, Predicate<Schedule> fails) {
        List<ScheduleEvent> events = new ArrayList<>(schedule.events());
        int chunk = Math.max(1, events.size() / 2);
        while (chunk >= 1) {
            boolean removed = false;
            for (int from = 0; from < events.size(); from += chunk) {
                List<ScheduleEvent> fewer = new ArrayList<>(events.subList(0, from));
                fewer.addAll(events.subList(Math.min(events.size(), from + chunk), events.size()));
                if (fails.test(schedule.withEvents(fewer))) {
                    events = fewer;
                    removed = true;
                    from -= chunk;
                }
            }
            if (!removed) {
                chunk /= 2;
            }
        }
        return schedule.withEvents(events);
    }
}
