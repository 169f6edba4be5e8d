package org.fuchsiawinch.wire;

import java.util.List;

import org.fuchsiawinch.model.WorkerSpec;

/** HTTP bodies of the platform's services. */
public final class PlatformMessages {

    private PlatformMessages() {}

    /**
     * Records to append.
     *
     * @param records the records' bytes
     */
    public record AppendRequest(List<byte[]> records) {

        /**
         * Copies the list.
         */
        public AppendRequest {
            records = List.copyOf(records);
        }
    }

    /**
     * Acknowledgement of an append.
     *
     * @param firstOffset offset of the first record
     */
    public record AppendResponse(long firstOffset) {}

    /**
     * A part of the log.
     *
     * @param firstOffset oldest offset that is kept
     * @param startOffset offset of the first record given
     * @param nextOffset offset of the next record that will be appended
     * @param records the records' bytes
     */
    public record ReadResponse(long firstOffset, long startOffset, long nextOffset, List<byte[]> records) {

        /**
         * Copies the list.
         */
        public ReadResponse {
            records = List.copyOf(records);
        }
    }

    /**
     * The list of workers, which lags.
     *
     * @param workers the workers
     */
    public record WorkerList(List<ListedWorker> workers) {

        /**
         * Copies the list.
         */
        public WorkerList {
            workers = List.copyOf(workers);
        }
    }

    /**
     * One listed worker.
     *
     * @param worker its description
     * @param url where its commands go
     * @param leaving whether it is about to leave
     */
    public record ListedWorker(WorkerSpec worker, String url, boolean leaving) {}
}
