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
final class Starter {

    private final State state;
    private final GuaranteeClaimer claimer;
    private final Reservations reservations;
    private final Stopper stopper;
    private final Explainer explainer;
    private final Overruns overruns;
    private final Waiting waiting;

    Starter(
            State state,
            GuaranteeClaimer claimer,
            Reservations reservations,
            Stopper stopper,
            Overruns overruns,
            Waiting waiting) {
        this.state = state;
        this.claimer = claimer;
        this.reservations = reservations;
        this.stopper = stopper;
        this.overruns = overruns;
        this.waiting = waiting;
        this.explainer = new Explainer(state.features);
    }

    /** Starts a waiting job outside guarantees; returns the reason to wait if it cannot start, otherwise empty. */
    Optional<ReasonCode> tryStart(Job job) {
        if (quotaBars(job)) {
            return Optional.of(ReasonCode.WAIT_QUOTA);
        }
        return startOutside(job, job.jobClass().key().part());
    }

    /** Starts a waiting job inside its workspace's guarantees or claims capacity there; returns whether it did. */
    boolean tryGuaranteed(Job job) {
        if (quotaBars(job)) {
            return false;
        }
        Resources part = job.jobClass().key().part();
        return claimer.offer(job, part)
                .filter(offer -> limitAllows(job, offer.gang(), rate(false)))
                .map(offer -> take(job, part, offer))
                .isPresent();
    }

    private boolean quotaBars(Job job) {
        return state.has(SchedulerFeature.QUOTA)
                && !state.ledger(job.spec().workspace()).quotaAllows(job.accelerators());
    }

    /** Starts each job whose claimed capacity has become free. */
    void startClaimed() {
        for (Claim claim : List.copyOf(state.claims)) {
            if (free(claim)) {
                state.claims.remove(claim);
                release(claim);
                begin(claim);
            }
        }
    }

    /** Cancels a claim and releases its capacity. */
    void abandon(Claim claim) {
        state.claims.remove(claim);
        release(claim);
        state.capacityGrew();
    }

    private Job take(Job job, Resources part, GuaranteeClaimer.Offer offer) {
        if (!offer.mustWait()) {
            state.queue.remove(job);
            start(job, offer.gang(), part, Standing.GUARANTEED, offer.unit(), ReasonCode.START_GUARANTEED);
            return job;
        }
        int[] excess = offer.unit().take(offer.gang(), part);
        offer.unit().addPending(1);
        List<Attempt> victims = offer.victims();
        claim(new Claim(job, offer.unit(), offer.gang(), part, excess, victims, state.nowMs()), StopCause.RECLAIM);
        return job;
    }

    /** Holds capacity for a waiting job and stops the victims that use it. */
    void claim(Claim claim, StopCause cause) {
        state.queue.remove(claim.job());
        state.claims.add(claim);
        claim.job().claim(claim);
        Occupancy.hold(claim.gang(), claim.part(), 1);
        state.ledger(claim.job().spec().workspace()).hold(claim.job().accelerators());
        if (firm(claim)) {
            Occupancy.commit(claim.gang(), claim.part(), 1);
        }
        for (Attempt victim : claim.victims()) {
            boolean move = cause == StopCause.DEFRAGMENT;
            stopper.stop(victim, cause, move ? StopMode.CHECKPOINT : state.victims.mode(victim));
        }
    }

    private void release(Claim claim) {
        Occupancy.hold(claim.gang(), claim.part(), -1);
        if (firm(claim)) {
            Occupancy.commit(claim.gang(), claim.part(), -1);
        }
        if (claim.unit() != null) {
            claim.unit().addPending(-1);
            claim.unit().give(claim.gang(), claim.part(), claim.excessMemoryMb());
        }
        claim.job().claim(null);
        state.ledger(claim.job().spec().workspace()).hold(-claim.job().accelerators());
    }

    private boolean firm(Claim claim) {
        return claim.unit() == null && !state.lendable(claim.job());
    }

    private static boolean free(Claim claim) {
        Gang gang = claim.gang();
        for (int i = 0; i < gang.workers().length; i++) {
            if (!gang.workers()[i].bears(claim.part(), gang.counts()[i])) {
                return false;
            }
        }
        return true;
    }

    private void begin(Claim claim) {
        Standing standing = Standing.GUARANTEED;
        ReasonCode code = ReasonCode.START_GUARANTEED;
        if (claim.unit() == null) {
            standing = firm(claim) ? Standing.FIRM : Standing.LENT;
            code = ReasonCode.START_SPARE;
        }
        start(claim.job(), claim.gang(), claim.part(), standing, claim.unit(), code);
    }

    private Optional<ReasonCode> startOutside(Job job, Resources part) {
        boolean lent = state.lendable(job);
        Optional<ReasonCode> reserved = reservations.bars(job);
        if (reserved.isPresent()) {
            return reserved;
        }
        Shape shape = job.spec().shape();
        PlaceRequest request = PlaceRequest.of(shape.parts(), part, shape.adjacency(), Space.FREE);
        if (!state.placer.fits(request)) {
            return Optional.of(ReasonCode.WAIT_CAPACITY);
        }
        request = request.avoiding(job.avoid()).limitedBy(reservations.limitFor(job, part));
        Optional<Gang> spare = state.placer.place(request.within(Space.SPARE));
        if (spare.isPresent()) {
            return startAt(job, part, spare.get(), lent, ReasonCode.START_SPARE);
        }
        Optional<Gang> free = state.placer.place(request);
        if (free.isEmpty()) {
            return Optional.of(reservations.holdsBack(job) ? ReasonCode.WAIT_RESERVATION : ReasonCode.WAIT_CAPACITY);
        }
        if (lent) {
            return startAt(job, part, free.get(), true, ReasonCode.START_LENT);
        }
        Optional<Gang> cleared = state.keeper.makeWay(request);
        if (cleared.isPresent()) {
            return startAt(job, part, cleared.get(), false, ReasonCode.START_SPARE);
        }
        return Optional.of(job.spec().reclaimable() ? ReasonCode.WAIT_PROTECTS_GUARANTEE : ReasonCode.WAIT_NOT_ON_LENT);
    }

    private Optional<ReasonCode> startAt(Job job, Resources part, Gang gang, boolean lent, ReasonCode code) {
        if (!limitAllows(job, gang, rate(lent))) {
            return Optional.of(ReasonCode.WAIT_SPEND_LIMIT);
        }
        ReasonCode start = reservations.passes(job) ? ReasonCode.START_BACKFILL : code;
        state.queue.remove(job);
        start(job, gang, part, lent ? Standing.LENT : Standing.FIRM, null, start);
        return Optional.empty();
    }

    private boolean limitAllows(Job job, Gang gang, long rateMicrosPerHour) {
        if (!state.has(SchedulerFeature.SPEND_LIMIT)) {
            return true;
        }
        WorkspaceLedger ledger = state.ledger(job.spec().workspace());
        RunEstimate estimate = state.estimator.estimate(job, gang.slowestSpeed());
        return ledger.limitAllows(
                ledger.worst(rateMicrosPerHour * job.accelerators(), estimate.worstMs()), state.nowMs());
    }

    private void start(Job job, Gang gang, Resources part, Standing standing, GuaranteeUnit unit, ReasonCode code) {
        job.attempts(job.attempts() + 1);
        RunEstimate estimate = state.estimator.estimate(job, gang.slowestSpeed());
        AttemptId id = new AttemptId(job.spec().id(), job.attempts());
        Attempt attempt = new Attempt(id, job, gang, part, estimate, state.nowMs());
        attempt.stand(standing, unit);
        boolean lent = standing == Standing.LENT;
        attempt.rate(rate(lent) * job.accelerators(), state.nowMs());
        begin(attempt);
        waiting.left(job);
        reservations.started(job);
        long worst = state.ledger(job.spec().workspace()).worst(attempt.rateMicrosPerHour(), estimate.worstMs());
        Reason reason = explainer.of(code, worst, estimate, alternative(job, standing, estimate));
        state.emit(new Decision.StartGang(id, gang.placements(), lent, reason));
    }

    /** Registers an attempt as running. */
    void begin(Attempt attempt) {
        attempt.job().attempt(attempt);
        Occupancy.occupy(attempt);
        state.ledger(attempt.job().spec().workspace()).started(attempt);
        overruns.started(attempt);
    }

    /** Returns the price of an accelerator for an hour, in millionths of the currency unit. */
    long rate(boolean lent) {
        return lent ? prices().lentAcceleratorHourMicros() : prices().acceleratorHourMicros();
    }

    private Optional<Reason.Alternative> alternative(Job job, Standing standing, RunEstimate estimate) {
        boolean other = standing == Standing.GUARANTEED;
        if (other && !state.lendable(job)) {
            return Optional.empty();
        }
        ReasonCode code = other ? ReasonCode.START_LENT : ReasonCode.WAIT_CAPACITY;
        long rate = rate(other) * job.accelerators();
        long price = Prices.of(rate, estimate.worstMs());
        long delayMs = other ? 0 : reservations.earliestReleaseMs(job);
        return Optional.of(new Reason.Alternative(code, price, delayMs));
    }

    private PricePolicy prices() {
        return state.policy().map(Policy::prices).orElse(new PricePolicy(0, 0, 0));
    }
}
