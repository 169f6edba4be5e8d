package org.fuchsiawinch.server.port;

import java.util.Optional;

import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.owner.WorkerEntry;

/** Reads the entries that others write into the platform's store. */
public interface EntryDecoder {

    /**
     * Reads a worker's entry.
     *
     * @param key key of the entry
     * @param value its value
     * @return the worker, or empty if the entry is not usable; the adapter has logged why
     */
    Optional<WorkerListing> decodeWorker(String key, byte[] value);

    /**
     * Reads the operators' document.
     *
     * @param key key of the entry
     * @param value its value
     * @return the rules, or empty if the entry is something else or not readable; the adapter has logged why
     */
    Optional<CellRules> decodeRules(String key, byte[] value);

    /**
     * A worker and where it listens.
     *
     * @param entry the worker
     * @param address its address
     */
    record WorkerListing(WorkerEntry entry, String address) {}
}
