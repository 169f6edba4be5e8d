package org.fuchsiawinch.wire;

import java.util.List;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerSpec;

/** Bodies of HTTP requests and responses of the platform's services. */
public final class PlatformMessages {

    private PlatformMessages() {}

    /**
     * Request to append records to the log.
     *
     * @param records encoded records
     */
    public record AppendRequest(List<byte[]> records) {

        /**
         * Creates an instance with an immutable copy of the list.
         */
        public AppendRequest {
            records = List.copyOf(records);
        }
    }

    /**
     * Response to a successful append.
     *
     * @param firstOffset offset of the first appended record
     */
    public record AppendResponse(long firstOffset) {}

    /**
     * Consecutive records of the log.
     *
     * @param firstOffset oldest retained offset
     * @param startOffset offset of the first returned record
     * @param nextOffset offset of the next record to be appended to the log
     * @param records encoded records
     */
    public record ReadResponse(long firstOffset, long startOffset, long nextOffset, List<byte[]> records) {

        /**
         * Creates an instance with an immutable copy of the list.
         */
        public ReadResponse {
            records = List.copyOf(records);
        }
    }

    /**
     * List of workers; it may lag behind their state.
     *
     * @param workers the workers
     */
    public record WorkerList(List<ListedWorker> workers) {

        /**
         * Creates an instance with an immutable copy of the list.
         */
        public WorkerList {
            workers = List.copyOf(workers);
        }
    }

    /**
     * Worker in the list.
     *
     * @param worker description of the worker
     * @param url URL to which commands are sent
     * @param leaving whether the worker is about to leave
     */
    public record ListedWorker(WorkerSpec worker, String url, boolean leaving) {}

    /**
     * All runs that workers have started.
     *
     * @param runs one entry for each attempt
     */
    public record RunList(List<Run> runs) {

        /**
         * Creates an instance with an immutable copy of the list.
         */
        public RunList {
            runs = List.copyOf(runs);
        }
    }

    /**
     * Run of an attempt that workers have started.
     *
     * @param job id of the job
     * @param attempt number of the attempt
     * @param parts number of started parts
     */
    public record Run(String job, int attempt, int parts) {}

    /**
     * Resource usage of all workers.
     *
     * @param workers one entry for each worker
     */
    public record UsageList(List<WorkerUsage> workers) {

        /**
         * Creates an instance with an immutable copy of the list.
         */
        public UsageList {
            workers = List.copyOf(workers);
        }
    }

    /**
     * Resource usage of a worker.
     *
     * @param worker description of the worker
     * @param used sum of the resources granted to parts that have not ended
     * @param fits whether the sum is within the worker's capacity
     */
    public record WorkerUsage(WorkerSpec worker, Resources used, boolean fits) {}
}
