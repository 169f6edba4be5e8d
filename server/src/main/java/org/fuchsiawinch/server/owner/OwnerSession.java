package org.fuchsiawinch.server.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiawinch.server.failure.FailureBarrier;
import org.fuchsiawinch.server.port.EntryDecoder;
import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.WorkerGateway;
import org.fuchsiawinch.server.stream.RecordReader;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Runs one ownership of a cell, from the stored claim to its end: loads the stored state, follows the list of workers,
 * feeds inputs to the {@link CellOwner} and executes its effects. One instance serves one ownership. Not thread-safe:
 * all calls and callbacks run on the node's single thread.
 */
public final class OwnerSession {

    /** Interval between ticks in ms; well below every time-out that ticks check. */
    private static final long TICK_MS = 100;

    /** Delays in ms before a page of the stored state is requested again; doubled with each failure in a row. */
    private static final long MIN_LOAD_RETRY_DELAY_MS = 100;

    private static final long MAX_LOAD_RETRY_DELAY_MS = 800;

    /** Number of heartbeats stored without a page read in between after which the load counts as failed. */
    private static final int MAX_HEARTBEATS_WITHOUT_PAGE = 20;

    /** Longest time in ms since the last proof that no other node had claimed the cell for a load to be valid. */
    private static final long MAX_PROOF_AGE_MS = 500;

    /** A time in ms before all others; half the minimum, so that differences do not overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** Workers write about once a second; the pause lets one read return several entries. */
    private static final StreamFollower.PollSettings WORKERS_POLL = new StreamFollower.PollSettings(1000, 200);

    private final OwnerSettings settings;
    private final long epoch;
    private final Ports ports;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Runnable onEnd;
    private final RecordCodec codec = new RecordCodec();
    private final List<CellRecord> recordsBeforeLoad = new ArrayList<>();
    private final WorkerList workerList;
    private final StreamFollower workerFollower;
    private final FencedAppender appender;
    private final Optional<Predecessor> predecessor;
    private final Runnable suspensionCheck;
    private final long claimStoredMs;

    /** Time in ms at which the claim was sent; long ago if the machine has been suspended since. */
    private long claimSentMs;

    private Optional<CellOwner> owner = Optional.empty();
    private Guarantees guarantees;
    private OwnerInput.DrainsRead drains;
    private Disposable ticker = () -> {};

    /** Time in ms of the last answer of the store which shows that no other node had claimed the cell. */
    private long provenMs;

    private long loadRetryDelayMs = MIN_LOAD_RETRY_DELAY_MS;
    private int heartbeatsWithoutPage;

    /** Loaded entries that wait for such an answer. */
    private Optional<List<StreamStore.StoredEntry>> unproven = Optional.empty();

    /** Appends heartbeats until the owner does so itself. */
    private Disposable loadHeartbeat = () -> {};

    private final FailureBarrier barrier;
    private boolean releasing;
    private boolean failed;
    private boolean ended;

    /**
     * Ports to the platform.
     *
     * @param store the stream store
     * @param gateway sends orders to workers
     * @param entryDecoder decodes the entries of workers and the operators' document
     */
    public record Ports(StreamStore store, WorkerGateway gateway, EntryDecoder entryDecoder) {}

    /**
     * Creates a session. The claim must be stored as the first append of the epoch.
     *
     * @param settings settings of the owner
     * @param epoch epoch of the ownership
     * @param claimSentMs time in ms at which the claim was sent
     * @param predecessor the previous owner; empty if it is not certain
     * @param guarantees guarantees in force
     * @param drains last read of the drain requests
     * @param ports ports to the platform
     * @param scheduler scheduler of the node's single thread
     * @param clock supplies the present Unix time in ms
     * @param suspensionCheck called before each input; calls {@link #suspended()} if the clock has stood still
     * @param log receives a line for each decision
     * @param onEnd called once when the ownership has ended
     */
    public OwnerSession(
            OwnerSettings settings,
            long epoch,
            long claimSentMs,
            Optional<Predecessor> predecessor,
            Guarantees guarantees,
            OwnerInput.DrainsRead drains,
            Ports ports,
            Scheduler scheduler,
            LongSupplier clock,
            Runnable suspensionCheck,
            DecisionLog log,
            Runnable onEnd) {
        this.settings = settings;
        this.epoch = epoch;
        this.claimSentMs = claimSentMs;
        this.predecessor = predecessor;
        this.suspensionCheck = suspensionCheck;
        this.guarantees = guarantees;
        this.drains = drains;
        this.ports = ports;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
        this.barrier = new FailureBarrier(log);
        this.onEnd = onEnd;
        this.claimStoredMs = clock.getAsLong();
        this.provenMs = NEVER_MS;
        this.workerList = new WorkerList(ports.entryDecoder(), scheduler, clock, barrier, log, this::handle);
        this.workerFollower = new StreamFollower(
                Stream.WORKERS, ports.store(), WORKERS_POLL, scheduler, clock, epoch, workerList, log);
        this.appender = new FencedAppender(ports.store(), scheduler, epoch, log, () -> end("fenced-by-store"));
    }

    /** Loads the stored state and starts to schedule. Other nodes see heartbeats from now on. */
    public void start() {
        loadHeartbeat =
                scheduler.schedulePeriodically(this::appendHeartbeat, 0, settings.heartbeatMs(), TimeUnit.MILLISECONDS);
        load(new ArrayList<>(), Optional.empty());
    }

    /**
     * Handles records read from the cell's stream. A higher claim ends the ownership; records that arrive before the
     * stored state is loaded are queued.
     *
     * @param records the records in the order of their offsets
     */
    public void recordsRead(List<CellRecord> records) {
        if (owner.isPresent()) {
            handle(new OwnerInput.RecordsRead(records));
        } else if (records.stream().anyMatch(this::supersedes)) {
            end("claim-superseded");
        } else {
            recordsBeforeLoad.addAll(records);
        }
    }

    private boolean supersedes(CellRecord record) {
        return record instanceof CellRecord.Owner claim && claim.epoch() > epoch;
    }

    /**
     * Handles changed guarantees.
     *
     * @param changed the guarantees in force
     */
    public void guaranteesChanged(Guarantees changed) {
        guarantees = changed;
        handle(new OwnerInput.GuaranteesChanged(changed));
    }

    /**
     * Handles a read of the operators' stream to its end.
     *
     * @param read the drain requests in force
     */
    public void drainsRead(OwnerInput.DrainsRead read) {
        drains = read;
        handle(read);
    }

    /** Handles that the machine has been suspended together with its clock. */
    public void suspended() {
        // A load in progress has to be proven anew, and its claim permits no leases.
        claimSentMs = NEVER_MS;
        provenMs = NEVER_MS;
        handle(new OwnerInput.Suspended());
    }

    /** Gives up the ownership: appends a release record once all appends are confirmed, then ends. */
    public void release() {
        releasing = true;
        loadHeartbeat.dispose();
        if (!appender.busy()) {
            storeRelease();
        }
    }

    /** Retries the append in flight at once. Call after the store recovered: the last try may never be answered. */
    public void storeRecovered() {
        appender.storeRecovered();
    }

    /**
     * Returns whether an unexpected failure has ended the ownership, or is about to.
     *
     * @return true if it has failed
     */
    public boolean failed() {
        return failed;
    }

    /**
     * Returns the owner.
     *
     * @return the owner; empty until its state is loaded and once the ownership is released or has ended
     */
    public Optional<CellOwner> owner() {
        return owner;
    }

    /**
     * Returns the epoch of the ownership.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Loads the page after a key and all that follow. Pages that were read before a failure stay valid: records of the
     * owner change only under its own epoch, and all others that are stored meanwhile are queued.
     */
    private void load(List<StreamStore.StoredEntry> collected, Optional<String> after) {
        ports.store().readLatest(Stream.CELL, after).subscribe(result -> barrier.run(
                        "owner-load", () -> pageRead(collected, after, result))
                .ifPresent(this::releaseAfterFailure));
    }

    private void pageRead(
            List<StreamStore.StoredEntry> collected, Optional<String> after, StreamStore.PageResult result) {
        if (ended || releasing) {
            return;
        }
        if (result instanceof StreamStore.PageResult.Failed failed) {
            log.line(
                    "owner-load-failed",
                    "epoch",
                    epoch,
                    "entries",
                    collected.size(),
                    "loadMs",
                    clock.getAsLong() - claimStoredMs,
                    "problem",
                    failed.problem());
            scheduler.schedule(() -> load(collected, after), loadRetryDelayMs, TimeUnit.MILLISECONDS);
            loadRetryDelayMs = Math.min(MAX_LOAD_RETRY_DELAY_MS, 2 * loadRetryDelayMs);
            return;
        }
        StreamStore.PageResult.Page page = (StreamStore.PageResult.Page) result;
        loadRetryDelayMs = MIN_LOAD_RETRY_DELAY_MS;
        heartbeatsWithoutPage = 0;
        if (page.entries().stream().anyMatch(stored -> stored.entry().key().equals(CellRecord.OWNER_KEY))) {
            provenMs = clock.getAsLong();
        }
        collected.addAll(page.entries());
        if (page.more() && !page.entries().isEmpty()) {
            load(
                    collected,
                    Optional.of(page.entries()
                            .get(page.entries().size() - 1)
                            .entry()
                            .key()));
            return;
        }
        unproven = Optional.of(collected);
        initializeIfProven();
    }

    /** Initializes the owner with the loaded entries, once it is certain that they were current a moment ago. */
    private void initializeIfProven() {
        if (unproven.isPresent() && clock.getAsLong() - provenMs <= MAX_PROOF_AGE_MS) {
            List<StreamStore.StoredEntry> entries = unproven.get();
            unproven = Optional.empty();
            initialize(entries);
        }
    }

    private void heartbeatStored() {
        provenMs = clock.getAsLong();
        if (unproven.isPresent()) {
            initializeIfProven();
        } else if (owner.isEmpty() && ++heartbeatsWithoutPage >= MAX_HEARTBEATS_WITHOUT_PAGE) {
            releaseAfterFailure(new IllegalStateException("the store takes appends but returns no page"));
        }
    }

    private void initialize(List<StreamStore.StoredEntry> entries) {
        entries.sort((left, right) -> Long.compare(left.offset(), right.offset()));
        List<CellRecord> records = new RecordReader(log).read(entries);
        boolean claimInForce = records.stream()
                .filter(CellRecord.Owner.class::isInstance)
                .map(CellRecord.Owner.class::cast)
                .allMatch(claim -> claim.epoch() == epoch && claim.node().equals(settings.node()));
        if (!claimInForce) {
            end("claim-superseded");
            return;
        }
        long nowMs = clock.getAsLong();
        CellOwner loaded = new CellOwner(settings, epoch, log, claimSentMs, nowMs);
        loaded.load(records, predecessor, nowMs);
        owner = Optional.of(loaded);
        loadHeartbeat.dispose();
        log.line("cell-taken", "epoch", epoch, "records", records.size(), "loadMs", nowMs - claimStoredMs);
        handle(new OwnerInput.GuaranteesChanged(guarantees));
        handle(drains);
        handle(new OwnerInput.RecordsRead(List.copyOf(recordsBeforeLoad)));
        recordsBeforeLoad.clear();
        workerFollower.start();
        ticker = scheduler.schedulePeriodically(
                () -> handle(new OwnerInput.Tick()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(OwnerInput input) {
        suspensionCheck.run();
        if (ended || owner.isEmpty()) {
            return;
        }
        CellOwner current = owner.get();
        barrier.run("owner", () -> current.handle(input, clock.getAsLong()).forEach(this::execute))
                .ifPresent(this::releaseAfterFailure);
    }

    /** Gives up the ownership, since the owner's state may be inconsistent. The next owner loads the stored state. */
    private void releaseAfterFailure(Throwable failure) {
        if (ended || failed) {
            return;
        }
        failed = true;
        owner = Optional.empty();
        ticker.dispose();
        log.line("owner-failed", "epoch", epoch, "problem", failure);
        release();
    }

    private void execute(OwnerEffect effect) {
        if (ended) {
            return;
        }
        if (effect instanceof OwnerEffect.Append append) {
            append(append.records());
        } else if (effect instanceof OwnerEffect.Renew renew) {
            renew(renew);
        } else if (effect instanceof OwnerEffect.Start start) {
            ports.gateway()
                    .start(workerList.address(start.worker()), epoch, start, () -> mayStillSend(start))
                    .subscribe(outcome -> handle(new OwnerInput.StartAnswered(start.worker(), start.run(), outcome)));
        } else if (effect instanceof OwnerEffect.Stop stop) {
            ports.gateway()
                    .stop(workerList.address(stop.worker()), epoch, stop)
                    .subscribe(accepted -> handle(new OwnerInput.StopAnswered(stop.worker(), stop.run(), accepted)));
        } else if (effect instanceof OwnerEffect.StepDown stepDown) {
            end(stepDown.reason());
        }
    }

    private boolean mayStillSend(OwnerEffect.Start start) {
        suspensionCheck.run();
        return !ended
                && owner.filter(current -> current.mayStillSend(start, clock.getAsLong()))
                        .isPresent();
    }

    private void renew(OwnerEffect.Renew renew) {
        long sentMs = clock.getAsLong();
        ports.gateway().renew(workerList.address(renew.worker()), epoch, renew).subscribe(result -> {
            if (result instanceof WorkerGateway.RenewResult.Answered answered) {
                handle(new OwnerInput.Renewed(renew.worker(), sentMs, answered.report()));
            } else {
                boolean fenced = result instanceof WorkerGateway.RenewResult.Fenced;
                handle(new OwnerInput.RenewalFailed(renew.worker(), sentMs, fenced, result.toString()));
            }
        });
    }

    private void append(List<CellRecord> records) {
        append(records, () -> handle(new OwnerInput.Appended()));
    }

    private void append(List<CellRecord> records, Runnable onStored) {
        appender.append(entries(records), () -> {
            if (!releasing) {
                onStored.run();
            } else if (!appender.busy()) {
                storeRelease();
            }
        });
    }

    /** Appends a sign of life unless another append is about to be one. */
    private void appendHeartbeat() {
        if (!appender.busy()) {
            append(
                    List.of(new CellRecord.Owner(settings.node(), epoch, false)),
                    () -> barrier.run("owner-load", this::heartbeatStored).ifPresent(this::releaseAfterFailure));
        }
    }

    private List<StreamStore.Entry> entries(List<CellRecord> records) {
        return records.stream()
                .map(record -> new StreamStore.Entry(record.key(), codec.encode(record)))
                .toList();
    }

    private void storeRelease() {
        List<CellRecord> records = new ArrayList<>(
                owner.map(current -> current.releaseRecords(clock.getAsLong())).orElse(List.of()));
        records.add(new CellRecord.Owner(settings.node(), epoch, true));
        owner = Optional.empty();
        appender.append(entries(records), () -> end("released"));
    }

    private void end(String cause) {
        if (ended) {
            return;
        }
        ended = true;
        owner = Optional.empty();
        ticker.dispose();
        loadHeartbeat.dispose();
        workerFollower.close();
        workerList.close();
        appender.close();
        log.line("cell-given-up", "epoch", epoch, "cause", cause, "heldMs", clock.getAsLong() - claimStoredMs);
        onEnd.run();
    }
}
