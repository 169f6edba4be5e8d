package org.fuchsiawinch.core.internal;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.StopMode;

/** Starts waiting jobs or returns the reason for which one must wait. Not thread-safe. */
final class JobStarter {

    private final SchedulerState state;
    private final GuaranteeAllocator allocator;
    private final Reservations reservations;
    private final AttemptStopper stopper;
    private final ReasonBuilder reasonBuilder;
    private final OverrunMonitor overrunMonitor;
    private final JobEnqueuer enqueuer;

    JobStarter(
            SchedulerState state,
            GuaranteeAllocator allocator,
            Reservations reservations,
            AttemptStopper stopper,
            OverrunMonitor overrunMonitor,
            JobEnqueuer enqueuer) {
        this.state = state;
        this.allocator = allocator;
        this.reservations = reservations;
        this.stopper = stopper;
        this.overrunMonitor = overrunMonitor;
        this.enqueuer = enqueuer;
        this.reasonBuilder = new ReasonBuilder(state.features);
    }

    /** Starts a waiting job outside guarantees; returns the reason to wait if it cannot start, otherwise empty. */
    Optional<ReasonCode> tryStart(Job job) {
        if (exceedsQuota(job)) {
            return Optional.of(ReasonCode.WAIT_QUOTA);
        }
        return startOutside(job, job.jobClass().key().perPart());
    }

    /** Starts a waiting job inside its workspace's guarantees or claims capacity there; returns whether it did. */
    boolean tryGuaranteed(Job job) {
        if (exceedsQuota(job)) {
            return false;
        }
        Resources perPart = job.jobClass().key().perPart();
        return allocator
                .findOffer(job, perPart)
                .filter(offer -> spendLimitAllows(job, offer.placement(), acceleratorHourMicros(false)))
                .map(offer -> acceptOffer(job, perPart, offer))
                .isPresent();
    }

    private boolean exceedsQuota(Job job) {
        return state.has(SchedulerFeature.QUOTA)
                && !state.ledger(job.spec().workspace()).quotaAllows(job.accelerators());
    }

    /** Starts each job whose claimed capacity has become free. */
    void startClaimed() {
        for (Claim claim : List.copyOf(state.claims)) {
            if (capacityAvailable(claim)) {
                state.claims.remove(claim);
                release(claim);
                startFromClaim(claim);
            }
        }
    }

    /** Cancels a claim and releases its capacity. */
    void abandon(Claim claim) {
        state.claims.remove(claim);
        release(claim);
        state.capacityGrew();
    }

    private Job acceptOffer(Job job, Resources perPart, GuaranteeAllocator.Offer offer) {
        if (!offer.mustWait()) {
            state.queue.remove(job);
            start(job, offer.placement(), perPart, Entitlement.GUARANTEED, offer.unit(), ReasonCode.START_GUARANTEED);
            return job;
        }
        int[] excess = offer.unit().allocate(offer.placement(), perPart);
        offer.unit().addPendingClaims(1);
        List<Attempt> victims = offer.victims();
        claim(
                new Claim(job, offer.unit(), offer.placement(), perPart, excess, victims, state.nowMs()),
                StopCause.RECLAIM);
        return job;
    }

    /** Holds capacity for a waiting job and stops the victims that use it. */
    void claim(Claim claim, StopCause cause) {
        state.queue.remove(claim.job());
        state.claims.add(claim);
        claim.job().claim(claim);
        CapacityAccounting.hold(claim.placement(), claim.perPart(), 1);
        state.ledger(claim.job().spec().workspace()).hold(claim.job().accelerators());
        if (nonPreemptible(claim)) {
            CapacityAccounting.commit(claim.placement(), claim.perPart(), 1);
        }
        for (Attempt victim : claim.victims()) {
            boolean move = cause == StopCause.DEFRAGMENT;
            stopper.stop(victim, cause, move ? StopMode.CHECKPOINT : state.victimSelector.mode(victim));
        }
    }

    private void release(Claim claim) {
        CapacityAccounting.hold(claim.placement(), claim.perPart(), -1);
        if (nonPreemptible(claim)) {
            CapacityAccounting.commit(claim.placement(), claim.perPart(), -1);
        }
        if (claim.unit() != null) {
            claim.unit().addPendingClaims(-1);
            claim.unit().release(claim.placement(), claim.perPart(), claim.excessMemoryMb());
        }
        claim.job().claim(null);
        state.ledger(claim.job().spec().workspace()).hold(-claim.job().accelerators());
    }

    private boolean nonPreemptible(Claim claim) {
        return claim.unit() == null && !state.lendable(claim.job());
    }

    private static boolean capacityAvailable(Claim claim) {
        GangPlacement placement = claim.placement();
        for (int i = 0; i < placement.workers().length; i++) {
            if (!placement.workers()[i].hasCapacityFor(
                    claim.perPart(), placement.counts()[i])) {
                return false;
            }
        }
        return true;
    }

    private void startFromClaim(Claim claim) {
        Entitlement entitlement = Entitlement.GUARANTEED;
        ReasonCode code = ReasonCode.START_GUARANTEED;
        if (claim.unit() == null) {
            entitlement = nonPreemptible(claim) ? Entitlement.NON_PREEMPTIBLE : Entitlement.LENT;
            code = ReasonCode.START_SPARE;
        }
        start(claim.job(), claim.placement(), claim.perPart(), entitlement, claim.unit(), code);
    }

    private Optional<ReasonCode> startOutside(Job job, Resources perPart) {
        boolean lent = state.lendable(job);
        Optional<ReasonCode> reserved = reservations.waitCode(job);
        if (reserved.isPresent()) {
            return reserved;
        }
        Shape shape = job.spec().shape();
        PlacementRequest request = PlacementRequest.of(shape.parts(), perPart, shape.adjacency(), CapacityScope.FREE);
        if (!state.placer.fits(request)) {
            return Optional.of(ReasonCode.WAIT_CAPACITY);
        }
        request = request.avoiding(job.avoid()).limitedBy(reservations.limitFor(job, perPart));
        Optional<GangPlacement> spare = state.placer.place(request.withScope(CapacityScope.SPARE));
        if (spare.isPresent()) {
            return startOn(job, perPart, spare.get(), lent, ReasonCode.START_SPARE);
        }
        Optional<GangPlacement> free = state.placer.place(request);
        if (free.isEmpty()) {
            return Optional.of(
                    reservations.reservedForOther(job) ? ReasonCode.WAIT_RESERVATION : ReasonCode.WAIT_CAPACITY);
        }
        if (lent) {
            return startOn(job, perPart, free.get(), true, ReasonCode.START_LENT);
        }
        Optional<GangPlacement> cleared = state.guaranteePlacer.placeByMovingUnits(request);
        if (cleared.isPresent()) {
            return startOn(job, perPart, cleared.get(), false, ReasonCode.START_SPARE);
        }
        return Optional.of(job.spec().reclaimable() ? ReasonCode.WAIT_PROTECTS_GUARANTEE : ReasonCode.WAIT_NOT_ON_LENT);
    }

    private Optional<ReasonCode> startOn(
            Job job, Resources perPart, GangPlacement placement, boolean lent, ReasonCode code) {
        if (!spendLimitAllows(job, placement, acceleratorHourMicros(lent))) {
            return Optional.of(ReasonCode.WAIT_SPEND_LIMIT);
        }
        ReasonCode start = reservations.overtakesReserved(job) ? ReasonCode.START_BACKFILL : code;
        state.queue.remove(job);
        start(job, placement, perPart, lent ? Entitlement.LENT : Entitlement.NON_PREEMPTIBLE, null, start);
        return Optional.empty();
    }

    private boolean spendLimitAllows(Job job, GangPlacement placement, long rateMicrosPerHour) {
        if (!state.has(SchedulerFeature.SPEND_LIMIT)) {
            return true;
        }
        WorkspaceLedger ledger = state.ledger(job.spec().workspace());
        RunEstimate estimate = state.estimator.estimate(job, placement.slowestSpeed());
        return ledger.spendLimitAllows(
                ledger.worstCaseMicros(rateMicrosPerHour * job.accelerators(), estimate.worstCaseMs()), state.nowMs());
    }

    private void start(
            Job job,
            GangPlacement placement,
            Resources perPart,
            Entitlement entitlement,
            GuaranteeUnit unit,
            ReasonCode code) {
        job.attempts(job.attempts() + 1);
        RunEstimate estimate = state.estimator.estimate(job, placement.slowestSpeed());
        AttemptId id = new AttemptId(job.spec().id(), job.attempts());
        Attempt attempt = new Attempt(id, job, placement, perPart, estimate, state.nowMs());
        attempt.entitlement(entitlement, unit);
        boolean lent = entitlement == Entitlement.LENT;
        attempt.changeRate(acceleratorHourMicros(lent) * job.accelerators(), state.nowMs());
        register(attempt);
        enqueuer.untrack(job);
        reservations.started(job);
        long worstCaseMicros = state.ledger(job.spec().workspace())
                .worstCaseMicros(attempt.rateMicrosPerHour(), estimate.worstCaseMs());
        Reason reason = reasonBuilder.of(code, worstCaseMicros, estimate, alternative(job, entitlement, estimate));
        state.emit(new Decision.StartGang(id, placement.placements(), lent, reason));
    }

    /** Registers an attempt as running. */
    void register(Attempt attempt) {
        attempt.job().attempt(attempt);
        CapacityAccounting.occupy(attempt);
        state.ledger(attempt.job().spec().workspace()).started(attempt);
        overrunMonitor.started(attempt);
    }

    /** Returns the price of an accelerator for an hour, in millionths of the currency unit. */
    long acceleratorHourMicros(boolean lent) {
        return lent ? prices().lentAcceleratorHourMicros() : prices().acceleratorHourMicros();
    }

    /** Returns the alternative to a start: on lent capacity for a guaranteed one, otherwise to wait. */
    private Optional<Reason.Alternative> alternative(Job job, Entitlement entitlement, RunEstimate estimate) {
        boolean lentInstead = entitlement == Entitlement.GUARANTEED;
        if (lentInstead && !state.lendable(job)) {
            return Optional.empty();
        }
        ReasonCode code = lentInstead ? ReasonCode.START_LENT : ReasonCode.WAIT_CAPACITY;
        long rate = acceleratorHourMicros(lentInstead) * job.accelerators();
        long price = Prices.of(rate, estimate.worstCaseMs());
        long delayMs = lentInstead ? 0 : reservations.reservedStartDelayMs(job);
        return Optional.of(new Reason.Alternative(code, price, delayMs));
    }

    private PricePolicy prices() {
        return state.policy().map(Policy::prices).orElse(new PricePolicy(0, 0, 0));
    }
}
