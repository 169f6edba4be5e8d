package org.fuchsiawinch.replay.generate;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Kind of sample trace: a user's workers and base load with a scenario.
 *
 * @param user user whose workers and base load the trace has
 * @param scenario what the trace contains in addition to the base load
 */
public record TraceKind(SampleUser user, Scenario scenario) {

    /**
     * Returns all kinds.
     *
     * @return each user with each scenario
     */
    public static List<TraceKind> all() {
        List<TraceKind> kinds = new ArrayList<>();
        for (SampleUser user : SampleUser.values()) {
            for (Scenario scenario : Scenario.values()) {
                kinds.add(new TraceKind(user, scenario));
            }
        }
        return kinds;
    }

    /**
     * Returns the kind with the given name.
     *
     * @param name its name
     * @return the kind, or empty if there is none
     */
    public static Optional<TraceKind> byName(String name) {
        return all().stream().filter(kind -> kind.name().equals(name)).findFirst();
    }

    /**
     * Returns the name.
     *
     * @return labels of user and scenario, joined by a hyphen
     */
    public String name() {
        return user.label() + "-" + scenario.label();
    }
}
