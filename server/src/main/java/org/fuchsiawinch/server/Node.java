package org.fuchsiawinch.server;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.server.api.CallerRequestHandler;
import org.fuchsiawinch.server.failure.ContainedDecoder;
import org.fuchsiawinch.server.failure.ContainedGateway;
import org.fuchsiawinch.server.failure.ContainedStore;
import org.fuchsiawinch.server.failure.FailureBarrier;
import org.fuchsiawinch.server.owner.OwnerSession;
import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.StreamStore.AppendResult;
import org.fuchsiawinch.server.stream.BatchingAppender;
import org.fuchsiawinch.server.stream.RecordReader;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Election;
import org.fuchsiawinch.workflow.cell.JobIndex;
import org.fuchsiawinch.workflow.drain.DrainRegister;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import reactor.core.scheduler.Scheduler;

/**
 * Scheduler node: follows the operators' document and the cell's stream, handles callers' requests, and owns the cell
 * while no other node does. Lives as long as the process. Not thread-safe: all calls and callbacks run on one thread.
 */
public final class Node {

    /** Number of claims conditional on the end offset before the node claims by its epoch alone. */
    private static final int MAX_CONDITIONAL_CLAIMS = 3;

    /** Interval in ms between checks whether to claim the cell. */
    private static final long TICK_MS = 80;

    /** Time in ms since the last answer of the store above which the node is not ready for new connections. */
    private static final long MAX_READY_STALENESS_MS = 1800;

    /** The owner reads without a pause, as each record may be a job to start; long polls detect a dead connection. */
    private static final StreamFollower.PollSettings OWNER_POLL = new StreamFollower.PollSettings(500, 0);

    /** Other nodes pause so that one read returns several records; callers see a record within the pause. */
    private static final StreamFollower.PollSettings FOLLOWER_POLL = new StreamFollower.PollSettings(500, 150);

    /** A document has to be in force within two seconds, even if one long poll gets no answer. */
    private static final StreamFollower.PollSettings OPERATOR_POLL = new StreamFollower.PollSettings(600, 0);

    /** Time in ms without a claim after an ownership that failed, so that another node takes the cell. */
    private static final long FAILED_OWNER_PAUSE_MS = 3000;

    /** A time in ms before all others; half the minimum, so that differences do not overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Silence in ms of the cell's owner from which on it is logged; the next line follows after twice as long. */
    private static final long FIRST_SILENCE_LINE_MS = 2000;

    private final NodeSettings settings;
    private final OwnerSession.Ports ports;
    private final FailureBarrier barrier;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final LongSupplier suspensionMs;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RecordCodec codec = new RecordCodec();
    private final RecordReader reader;
    private final JobIndex index = new JobIndex();
    private final Election election;
    private final StreamFollower cellFollower;
    private final StreamFollower operatorFollower;
    private final BatchingAppender requestAppender;
    private final CallerRequestHandler requestHandler;
    private final DrainRegister drains = new DrainRegister();
    private Optional<CellRules> rules = Optional.empty();

    /** Time in ms of the last read of the operators' stream to its end. */
    private long drainsReadMs = NEVER_MS;

    private Optional<OwnerSession> ownership = Optional.empty();
    private OptionalLong claimedEpoch = OptionalLong.empty();

    /** The owner before the claim; empty if another node may have claimed the cell in between. */
    private Optional<Predecessor> predecessor = Optional.empty();

    /** Newest epoch of a claim without a condition, which may be stored after records that this node has not read. */
    private long unconditionalEpoch = Long.MIN_VALUE;

    /** Time in ms at which the claimed epoch was first claimed; any of its claims may be the stored one. */
    private long claimSentMs;

    /** Whether a claim, or the read after a failed one, is unanswered. */
    private boolean claimInFlight;

    /** Number of claims in a row that failed as the stream had moved, without a competing claim among its entries. */
    private int movedClaims;

    /** Offset up to which this node must have read the cell's stream before it claims again. */
    private long minClaimOffset;

    /** Time in ms before which this node does not claim the cell. */
    private long claimPauseEndMs = Long.MIN_VALUE;

    /** Time in ms of the last check whether to claim the cell. */
    private long lastTickMs;

    /** Silence in ms of the cell's owner at which the next line is due. */
    private long nextSilenceLineMs = FIRST_SILENCE_LINE_MS;

    private boolean draining;

    /**
     * Creates a node; it is inactive before {@link #start()}.
     *
     * @param settings settings of the node
     * @param ports ports to the platform
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present Unix time in ms; may stand still while the machine is suspended
     * @param suspensionMs supplies for how long in ms the machine has been suspended since the last call
     * @param log receives a line for each decision
     * @param metrics registry of the node's counters
     */
    public Node(
            NodeSettings settings,
            OwnerSession.Ports ports,
            Scheduler scheduler,
            LongSupplier clock,
            LongSupplier suspensionMs,
            DecisionLog log,
            MetricRegistry metrics) {
        this.settings = settings;
        this.scheduler = scheduler;
        this.clock = clock;
        this.suspensionMs = suspensionMs;
        this.log = new CountingLog(log, metrics);
        this.barrier = new FailureBarrier(this.log);
        this.ports = new OwnerSession.Ports(
                new ContainedStore(ports.store(), barrier),
                new ContainedGateway(ports.gateway(), barrier),
                new ContainedDecoder(ports.entryDecoder(), barrier));
        this.metrics = metrics;
        this.reader = new RecordReader(this.log);
        this.election = new Election(settings.name(), settings.seed(), settings.small(), clock.getAsLong());
        this.cellFollower = createFollower(Stream.CELL, FOLLOWER_POLL, new CellListener());
        this.operatorFollower = createFollower(Stream.OPERATOR, OPERATOR_POLL, new OperatorListener());
        this.requestAppender = new BatchingAppender(this.ports.store(), scheduler, clock, this.log);
        this.requestHandler = new CallerRequestHandler(
                index, () -> rules, cellFollower, operatorFollower, requestAppender, codec, clock, this.log, metrics);
    }

    private StreamFollower createFollower(
            Stream stream, StreamFollower.PollSettings poll, StreamFollower.Listener listener) {
        return new StreamFollower(stream, ports.store(), poll, scheduler, clock, settings.seed(), listener, log);
    }

    /** Starts to follow the streams and to claim the cell when it has no owner. */
    public void start() {
        lastTickMs = clock.getAsLong();
        operatorFollower.start();
        cellFollower.start();
        scheduler.schedulePeriodically(() -> barrier.run("tick", this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler
     */
    public CallerRequestHandler requestHandler() {
        return requestHandler;
    }

    /**
     * Returns the largest accepted size of a request body.
     *
     * @param defaultBytes size in bytes that applies until rules are in force
     * @return size in bytes
     */
    public int maxBodyBytes(int defaultBytes) {
        return rules.map(CellRules::maxBodyBytes).orElse(defaultBytes);
    }

    /**
     * Returns whether this node is ready for new connections.
     *
     * @param nowMs present time in ms
     * @return true if it is not draining, its state is loaded and the store has answered recently
     */
    public boolean ready(long nowMs) {
        return !draining
                && rules.isPresent()
                && cellFollower.loaded()
                && cellFollower.stalenessMs(nowMs) <= MAX_READY_STALENESS_MS
                && operatorFollower.stalenessMs(nowMs) <= MAX_READY_STALENESS_MS;
    }

    /**
     * Returns whether the node is draining.
     *
     * @return true once {@link #drain()} has been called
     */
    public boolean draining() {
        return draining;
    }

    /** Reports the node as not ready and releases the cell; requests of connected callers are still handled. */
    public void drain() {
        if (!draining) {
            draining = true;
            ownership.ifPresent(OwnerSession::release);
        }
    }

    /**
     * Reads the streams anew if the machine has been suspended, since all that this node knows may be outdated although
     * its clock says otherwise. Call before a request is handled.
     */
    public void checkForSuspension() {
        long suspendedMs = suspensionMs.getAsLong();
        if (suspendedMs == 0) {
            return;
        }
        metrics.counter("suspensions").inc();
        log.line("node-suspended", "suspendedMs", suspendedMs);
        // A claim in flight permits no leases any more.
        claimSentMs = NEVER_MS;
        drainsReadMs = NEVER_MS;
        passOnDrains();
        ownership.ifPresent(OwnerSession::suspended);
        operatorFollower.startAgain();
        cellFollower.startAgain();
    }

    private void tick() {
        checkForSuspension();
        long nowMs = clock.getAsLong();
        election.delayed(Math.max(0, nowMs - lastTickMs - TICK_MS), nowMs);
        lastTickMs = nowMs;
        logOwnerSilence();
        if (nowMs < claimPauseEndMs) {
            return;
        }
        boolean behind = cellFollower.nextOffset() < minClaimOffset;
        if (draining || claimInFlight || ownership.isPresent() || !cellFollower.loaded() || rules.isEmpty() || behind) {
            return;
        }
        OptionalLong epoch = election.epochToClaim(nowMs);
        if (epoch.isEmpty()) {
            movedClaims = 0;
            return;
        }
        claim(epoch.getAsLong());
    }

    /** Logs that no owner has written for long, as nothing starts meanwhile. */
    private void logOwnerSilence() {
        long silenceMs = election.ownerSilenceMs();
        if (silenceMs < FIRST_SILENCE_LINE_MS) {
            nextSilenceLineMs = FIRST_SILENCE_LINE_MS;
        } else if (silenceMs >= nextSilenceLineMs) {
            nextSilenceLineMs = 2 * silenceMs;
            log.line(
                    "cell-silent",
                    "silentMs",
                    silenceMs,
                    "lastOwner",
                    election.owner(),
                    "epoch",
                    election.epoch(),
                    "owning",
                    ownership.isPresent(),
                    "claiming",
                    claimInFlight);
        }
    }

    /**
     * Claims the cell on condition that the stream still ends where this node has read, so that one of several claims
     * wins. After several such claims have failed although no other node has claimed, the next one relies on the epoch
     * alone: on a slow store under load, the stream always ends beyond what a node has read.
     */
    private void claim(long epoch) {
        claimInFlight = true;
        long nowMs = clock.getAsLong();
        if (!claimedEpoch.equals(OptionalLong.of(epoch))) {
            claimSentMs = nowMs;
        }
        claimedEpoch = OptionalLong.of(epoch);
        boolean conditional = movedClaims < MAX_CONDITIONAL_CLAIMS;
        if (!conditional) {
            unconditionalEpoch = epoch;
        }
        predecessor = epoch == unconditionalEpoch ? Optional.empty() : Optional.of(election.predecessor());
        log.line(
                "cell-claimed",
                "epoch",
                epoch,
                "lastOwner",
                election.owner(),
                "at",
                cellFollower.nextOffset(),
                "silentMs",
                election.ownerSilenceMs(),
                "timeoutMs",
                election.timeoutMs(nowMs));
        CellRecord record = new CellRecord.Owner(settings.name(), epoch, false);
        List<StreamStore.Entry> entries = List.of(new StreamStore.Entry(record.key(), codec.encode(record)));
        ports.store()
                .append(
                        entries,
                        Optional.of(new StreamStore.Writer(epoch, 0)),
                        conditional ? OptionalLong.of(cellFollower.nextOffset()) : OptionalLong.empty())
                .subscribe(result -> {
                    if (result instanceof AppendResult.Stored) {
                        claimInFlight = false;
                        startOwnership(epoch);
                        return;
                    }
                    log.line("claim-failed", "epoch", epoch, "contested", !conditional, "result", result);
                    claimFailed(result);
                });
    }

    /** Reads at once what this node has missed, so that it claims again without a pause or learns who has claimed. */
    private void claimFailed(AppendResult result) {
        boolean moved = result instanceof AppendResult.Moved;
        if (!moved && !(result instanceof AppendResult.Fenced)) {
            claimInFlight = false;
            return;
        }
        if (result instanceof AppendResult.Moved missed) {
            minClaimOffset = missed.end();
            movedClaims++;
        }
        cellFollower
                .catchUp()
                .subscribe(
                        caughtUp -> {
                            claimInFlight = false;
                            if (moved && caughtUp) {
                                tick();
                            }
                        },
                        problem -> {
                            claimInFlight = false;
                            log.line("claim-failed", "problem", problem);
                        });
    }

    private void startOwnership(long epoch) {
        if (ownership.isPresent() || draining || claimedEpoch.isEmpty() || claimedEpoch.getAsLong() != epoch) {
            return;
        }
        OwnerSession session = new OwnerSession(
                settings.owner(),
                epoch,
                claimSentMs,
                predecessor,
                rules.map(CellRules::guarantees).orElse(Guarantees.NONE),
                new OwnerInput.DrainsRead(drains.dataCentres(), drainsReadMs),
                ports,
                scheduler,
                clock,
                this::checkForSuspension,
                log,
                this::endOwnership);
        ownership = Optional.of(session);
        cellFollower.changePolling(OWNER_POLL);
        session.start();
    }

    private void endOwnership() {
        if (ownership.filter(OwnerSession::failed).isPresent()) {
            claimPauseEndMs = clock.getAsLong() + FAILED_OWNER_PAUSE_MS;
        }
        ownership = Optional.empty();
        claimedEpoch = OptionalLong.empty();
        cellFollower.changePolling(FOLLOWER_POLL);
    }

    private void passOnDrains() {
        ownership.ifPresent(
                session -> session.drainsRead(new OwnerInput.DrainsRead(drains.dataCentres(), drainsReadMs)));
    }

    /** Applies the cell's records to the job index and the election, and passes them to the ownership. */
    private final class CellListener implements StreamFollower.Listener {

        @Override
        public void onSnapshot(List<StreamStore.StoredEntry> entries) {
            index.clear();
            onEntries(entries);
        }

        @Override
        public void onEntries(List<StreamStore.StoredEntry> entries) {
            long nowMs = clock.getAsLong();
            List<CellRecord> records = reader.read(entries);
            if (records.size() < entries.size()) {
                election.unreadableRecord(nowMs);
            }
            for (CellRecord record : records) {
                election.apply(record, nowMs);
                index.apply(record);
                if (record instanceof CellRecord.Owner) {
                    movedClaims = 0;
                }
                if (record instanceof CellRecord.Owner owner
                        && owner.node().equals(settings.name())
                        && !owner.released()) {
                    // The claim is stored, although its answer may have been lost.
                    startOwnership(owner.epoch());
                }
            }
            ownership.ifPresent(session -> session.recordsRead(records));
        }

        @Override
        public void onCaughtUp() {
            election.streamEndReached(clock.getAsLong());
        }

        @Override
        public void onStoreRecovered() {
            requestAppender.storeRecovered();
            ownership.ifPresent(OwnerSession::storeRecovered);
        }
    }

    /** Applies drain requests and newer versions of the operators' document, and ignores older ones. */
    private final class OperatorListener implements StreamFollower.Listener {

        @Override
        public void onSnapshot(List<StreamStore.StoredEntry> entries) {
            drains.replace(List.of());
            onEntries(entries);
        }

        @Override
        public void onEntries(List<StreamStore.StoredEntry> entries) {
            for (StreamStore.StoredEntry stored : entries) {
                String key = stored.entry().key();
                byte[] value = stored.entry().value();
                ports.entryDecoder().decodeDrain(key, value).ifPresent(drains::apply);
                ports.entryDecoder().decodeRules(key, value).ifPresent(this::apply);
            }
            passOnDrains();
        }

        @Override
        public void onCaughtUp() {
            drainsReadMs = clock.getAsLong();
            passOnDrains();
        }

        private void apply(CellRules changed) {
            long previousVersion = rules.map(CellRules::version).orElse(Long.MIN_VALUE);
            if (changed.version() <= previousVersion) {
                return;
            }
            rules = Optional.of(changed);
            metrics.counter("rules.changes").inc();
            log.line(
                    "rules-in-force",
                    "version",
                    changed.version(),
                    "before",
                    previousVersion,
                    "queues",
                    changed.queueCount());
            ownership.ifPresent(session -> session.guaranteesChanged(changed.guarantees()));
        }
    }
}
