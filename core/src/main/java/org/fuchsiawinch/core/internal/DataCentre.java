package org.fuchsiawinch.core.internal;

import java.util.Collection;
import java.util.TreeMap;

/** The racks of a data centre in order of name, with a cached sum of free accelerators. Not thread-safe. */
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

    /** Returns how many accelerators are neither used nor held for pending starts on workers that accept work. */
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
