package org.fuchsiawinch.server.port;

import java.util.function.BooleanSupplier;

import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import reactor.core.publisher.Mono;

/**
 * Sends orders to workers. Failures are returned as values: no publisher of this port ends with an error. Each call has
 * its own time-out. Results, time-outs included, arrive on the node's single thread.
 */
public interface WorkerGateway {

    /**
     * Renews the lease of a worker.
     *
     * @param address host and port of the worker; empty if unknown: nothing is sent and the call fails
     * @param epoch the owner's epoch, which fences off orders of earlier owners
     * @param order the worker, the end of its lease, the acknowledged end of a run and the wait
     * @return the worker's report, or the reason why there is none
     */
    Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order);

    /**
     * Starts a run of a task.
     *
     * @param address host and port of the worker; empty if unknown: nothing is sent and the call fails
     * @param epoch the owner's epoch, which fences off orders of earlier owners
     * @param order the worker, the run and its input
     * @param permitted whether the order may still be sent; called on the node's single thread, right before it is
     * @return outcome of the start; {@link StartOutcome#WITHHELD} if it was not permitted any more
     */
    Mono<StartOutcome> start(String address, long epoch, OwnerEffect.Start order, BooleanSupplier permitted);

    /**
     * Stops a run of a task.
     *
     * @param address host and port of the worker; empty if unknown: nothing is sent and the call fails
     * @param epoch the owner's epoch, which fences off orders of earlier owners
     * @param order the worker and the run
     * @return whether the worker accepted the order; false if it rejected it or did not answer
     */
    Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order);

    /** Result of a lease renewal. */
    sealed interface RenewResult {

        /**
         * The worker answered.
         *
         * @param report state of the worker and its runs
         */
        record Answered(WorkerReport report) implements RenewResult {}

        /** The worker has seen a higher epoch and rejected the order. */
        record Fenced() implements RenewResult {}

        /**
         * The worker did not answer, or its answer is not valid.
         *
         * @param problem description of the failure
         */
        record Failed(String problem) implements RenewResult {}
    }
}
