package org.fuchsiawinch.server.port;

import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import reactor.core.publisher.Mono;

/** Orders to workers. No publisher of this port ends with an error; each call has its own time-out. */
public interface WorkerGateway {

    /**
     * Renews a lease.
     *
     * @param address the worker's address
     * @param epoch the owner's epoch
     * @param order what to send
     * @return what the worker says
     */
    Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order);

    /**
     * Starts a run.
     *
     * @param address the worker's address
     * @param epoch the owner's epoch
     * @param order what to send
     * @return what came of it
     */
    Mono<StartOutcome> start(String address, long epoch, OwnerEffect.Start order);

    /**
     * Stops a run.
     *
     * @param address the worker's address
     * @param epoch the owner's epoch
     * @param order what to send
     * @return whether the worker accepted it
     */
    Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order);

    /** What came of a renewal. */
    sealed interface RenewResult {

        /**
         * The worker answered.
         *
         * @param report what it says
         */
        record Answered(WorkerReport report) implements RenewResult {}

        /** The worker knows a higher epoch. */
        record Fenced() implements RenewResult {}

        /**
         * The worker did not answer, or not usably.
         *
         * @param problem what was seen
         */
        record Failed(String problem) implements RenewResult {}
    }
}
