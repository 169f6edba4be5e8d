package org.fuchsiawinch.server.port;

import java.util.Optional;

import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.drain.DrainEntry;
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
     * Decodes the operators' request to drain a data centre. The default knows no such requests.
     *
     * @param key key of the entry
     * @param value value of the entry; empty if the entry has been removed
     * @return the request, or empty if the entry is another one
     */
    default Optional<DrainEntry> decodeDrain(String key, byte[] value) {
        return Optional.empty();
    }

    /**
     * Worker and its network address.
     *
     * @param registration the worker
     * @param sequence number of the entry among those of the worker's process, rising; 0 if unknown
     * @param address host and port at which it accepts orders
     */
    record WorkerListing(WorkerRegistration registration, long sequence, String address) {

        /** Creates the listing of a worker that does not number its entries. */
        public WorkerListing(WorkerRegistration registration, String address) {
            this(registration, 0, address);
        }

        /**
         * Returns whether the worker has written another of its entries after this one.
         *
         * @param other the other entry
         * @return true if the other one is of a later process, or a later one of the same process
         */
        public boolean olderThan(WorkerListing other) {
            long incarnation = registration.incarnation();
            long otherIncarnation = other.registration.incarnation();
            return incarnation == otherIncarnation
                    ? sequence < other.sequence
                    : incarnation != 0 && incarnation < otherIncarnation;
        }
    }
}
