package org.fuchsiawinch.wire;

import java.util.List;

import org.fuchsiawinch.model.Resources;
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

    /**
     * All runs that workers began.
     *
     * @param runs one entry for each attempt
     */
    public record RunList(List<Run> runs) {

        /**
         * Copies the list.
         */
        public RunList {
            runs = List.copyOf(runs);
        }
    }

    /**
     * A run that workers began.
     *
     * @param job id of the job
     * @param attempt number of the attempt
     * @param parts number of parts that began
     */
    public record Run(String job, int attempt, int parts) {}

    /**
     * What all workers use.
     *
     * @param workers one entry for each worker
     */
    public record UsageList(List<WorkerUsage> workers) {

        /**
         * Copies the list.
         */
        public UsageList {
            workers = List.copyOf(workers);
        }
    }

    /**
     * What a worker uses.
     *
     * @param worker its description
     * @param used granted to the parts that have not ended
     * @param fits whether the sum is within the worker's capacity
     */
    public record WorkerUsage(WorkerSpec worker, Resources used, boolean fits) {}
}
