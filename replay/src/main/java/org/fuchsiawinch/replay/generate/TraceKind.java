package org.fuchsiawinch.replay.generate;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A sample trace that the generator can make.
 *
 * @param user whose workers and load
 * @param scenario what happens on top
 */
public record TraceKind(SampleUser user, Scenario scenario) {

    /**
     * Lists all kinds.
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
     * Finds a kind.
     *
     * @param name its name
     * @return the kind, or empty if there is none
     */
    public static Optional<TraceKind> byName(String name) {
        return all().stream().filter(kind -> kind.name().equals(name)).findFirst();
    }

    /**
     * Gives the name.
     *
     * @return names of user and scenario, joined by a hyphen
     */
    public String name() {
        return user.label() + "-" + scenario.label();
    }
}
