package org.fuchsiawinch.workflow.drain;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/** The operators' drain requests in force, as read from their stream. Not thread-safe. */
public final class DrainRegister {

    private final Set<String> dataCentres = new TreeSet<>();

    /**
     * Replaces all requests. The store keeps no entry of a withdrawn request, so one that is missing is withdrawn.
     *
     * @param entries the requests in force
     */
    public void replace(Collection<DrainEntry> entries) {
        dataCentres.clear();
        entries.forEach(this::apply);
    }

    /**
     * Applies a later entry.
     *
     * @param entry the entry
     */
    public void apply(DrainEntry entry) {
        if (entry.drained()) {
            dataCentres.add(entry.dataCentre());
        } else {
            dataCentres.remove(entry.dataCentre());
        }
    }

    /**
     * Returns the drained data centres.
     *
     * @return the data centres, a copy
     */
    public Set<String> dataCentres() {
        return Set.copyOf(dataCentres);
    }
}
