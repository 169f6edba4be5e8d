package org.fuchsiawinch.server;

import java.util.function.BooleanSupplier;

import org.fuchsiawinch.server.port.WorkerGateway;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.StartOutcome;
import reactor.core.publisher.Mono;

/** Workers that answer no order. */
final class UnresponsiveWorkers implements WorkerGateway {

    @Override
    public Mono<RenewResult> renew(String address, long epoch, OwnerEffect.Renew order) {
        return Mono.never();
    }

    @Override
    public Mono<StartOutcome> start(String address, long epoch, OwnerEffect.Start order, BooleanSupplier permitted) {
        return Mono.never();
    }

    @Override
    public Mono<Boolean> stop(String address, long epoch, OwnerEffect.Stop order) {
        return Mono.never();
    }
}
