package org.fuchsiawinch.server.port;

import java.util.Optional;

import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;

/** Reads the entries that others write into the platform's store. */
public interface Directory {

    /**
     * Reads a worker's entry.
     *
     * @param key key of the entry
     * @param value its value
     * @return the worker, or empty if the entry is not usable; the adapter has logged why
     */
    Optional<Listing> worker(String key, byte[] value);

    /**
     * Reads the operators' document.
     *
     * @param key key of the entry
     * @param value its value
     * @return the rules, or empty if the entry is something else or not readable; the adapter has logged why
     */
    Optional<CellRules> rules(String key, byte[] value);

    /**
     * A worker and where it listens.
     *
     * @param entry the worker
     * @param address its address
     */
    record Listing(WorkerRegistration entry, String address) {}
}
