package org.fuchsiawinch.server.port;

import java.util.Optional;

import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;

/** Decodes entries of the platform's store that workers and operators write. */
public interface EntryDecoder {

    /**
     * Decodes the entry of a worker.
     *
     * @param key key of the entry
     * @param value value of the entry
     * @return the worker, or empty if the entry is not valid; the adapter logs the reason
     */
    Optional<WorkerListing> decodeWorker(String key, byte[] value);

    /**
     * Decodes the operators' document.
     *
     * @param key key of the entry
     * @param value value of the entry
     * @return the rules, or empty if the entry is not the document or not valid; the adapter logs the reason why a
     *     document is not valid
     */
    Optional<CellRules> decodeRules(String key, byte[] value);

    /**
     * Worker and its network address.
     *
     * @param registration the worker
     * @param address host and port at which it accepts orders
     */
    record WorkerListing(WorkerRegistration registration, String address) {}
}
