package org.fuchsiawinch.core.internal;

import java.util.Collection;
import java.util.TreeMap;

/** A data centre's racks in order of name. Not thread-safe. */
final class DataCentre {

    private final String name;
    private final TreeMap<String, Rack> racks = new TreeMap<>();

    DataCentre(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    Collection<Rack> racks() {
        return racks.values();
    }

    Rack rack(String rackName) {
        return racks.computeIfAbsent(rackName, key -> new Rack(this, key));
    }
}
