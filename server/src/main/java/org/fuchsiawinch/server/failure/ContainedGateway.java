package org.fuchsiawinch.server.failure;

import java.util.function.BooleanSupplier;

import org.fuchsiawinch.server.port.WorkerGateway;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import reactor.core.publisher.Mono;

/**
 * Gateway whose calls end with a failure value if another gateway throws or signals an error. The outcome of such an
 * order is unknown, since it may have been sent. Thread-safe as that gateway.
 */
public final class ContainedGateway implements WorkerGateway {

    private final WorkerGateway gateway;
    private final FailureBarrier barrier;

    /**
     * Creates a gateway.
     *
     * @param gateway the gateway that sends the orders
     * @param barrier receives the failures
     */
    public ContainedGateway(WorkerGateway gateway, FailureBarrier barrier) {
        this.gateway = gateway;
        this.barrier = barrier;
    }

    @Override
    public Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order) {
        return ErrorSignals.defer(() -> gateway.renew(address, epoch, order)).onErrorResume(failure -> {
            barrier.report("worker-renew", failure);
            return Mono.just(new RenewResult.Failed(failure.toString()));
        });
    }

    @Override
    public Mono<StartOutcome> start(String address, long epoch, OwnerEffect.Start order, BooleanSupplier permitted) {
        return ErrorSignals.defer(() -> gateway.start(address, epoch, order, permitted))
                .onErrorResume(failure -> {
                    barrier.report("worker-start", failure);
                    return Mono.just(StartOutcome.UNANSWERED);
                });
    }

    @Override
    public Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order) {
        return ErrorSignals.defer(() -> gateway.stop(address, epoch, order)).onErrorResume(failure -> {
            barrier.report("worker-stop", failure);
            return Mono.just(false);
        });
    }
}
