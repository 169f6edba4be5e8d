package org.fuchsiawinch.core.internal;

import java.util.Collection;
import java.util.TreeMap;

/** A data centre's racks in order of name. Not thread-safe. */
final class DataCentre {

    private final String name;
    private final TreeMap<String, Rack> racks = new TreeMap<>();

    private boolean stale = true;
    private int freeAccelerators;

    DataCentre(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    void markStale() {
        stale = true;
    }

    /** Accelerators of open workers that nothing uses and that are held for nothing. */
    int freeAccelerators() {
        if (stale) {
            stale = false;
            freeAccelerators = 0;
            racks.values().forEach(rack -> freeAccelerators += rack.freeAccelerators());
        }
        return freeAccelerators;
    }

    Collection<Rack> racks() {
        return racks.values();
    }

    Rack rack(String rackName) {
        return racks.computeIfAbsent(rackName, key -> new Rack(this, key));
    }
}
