package org.fuchsiawinch.server.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.server.port.Directory;
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
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * One ownership of a cell, from the claim that was stored to its end: loads the stored state, follows the list of
 * workers, and carries out the owner's effects. Runs on one thread, which also calls it; used once.
 */
public final class OwnerLoop {

    /** Time between ticks in ms; well below each time-out that they check. */
    private static final long TICK_MS = 100;

    /** Pause in ms before the stored state is asked for again. */
    private static final long LOAD_RETRY_MS = 400;

    /** Workers write about every second; a pause lets one read take several entries. */
    private static final StreamFollower.Pace WORKERS_PACE = new StreamFollower.Pace(1000, 200);

    private final OwnerSettings settings;
    private final long epoch;
    private final Ports ports;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final Runnable onEnd;
    private final RecordCodec codec = new RecordCodec();
    private final Map<WorkerId, String> addresses = new HashMap<>();
    private final List<CellRecord> early = new ArrayList<>();
    private final StreamFollower workers;
    private final FencedAppender appender;
    private final long takenMs;
    private Optional<CellOwner> owner = Optional.empty();
    private Guarantees guarantees;
    private Disposable ticks = () -> {};
    private boolean releasing;
    private boolean ended;

    /**
     * What the loop talks to.
     *
     * @param store the store
     * @param gateway the workers
     * @param directory reads the workers' entries
     */
    public record Ports(StreamStore store, WorkerGateway gateway, Directory directory) {}

    /**
     * Creates the loop of an ownership whose claim is stored as the epoch's first append.
     *
     * @param settings the owner's figures
     * @param epoch the epoch
     * @param guarantees guarantees in force
     * @param ports what it talks to
     * @param scheduler the one thread
     * @param clock present time in ms
     * @param log takes a line for each decision
     * @param onEnd called once when the ownership has ended
     */
    public OwnerLoop(
            OwnerSettings settings,
            long epoch,
            Guarantees guarantees,
            Ports ports,
            Scheduler scheduler,
            LongSupplier clock,
            DecisionLog log,
            Runnable onEnd) {
        this.settings = settings;
        this.epoch = epoch;
        this.guarantees = guarantees;
        this.ports = ports;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
        this.onEnd = onEnd;
        this.takenMs = clock.getAsLong();
        this.workers = new StreamFollower(
                Stream.WORKERS, ports.store(), WORKERS_PACE, scheduler, clock, epoch, new WorkerList(), log);
        this.appender = new FencedAppender(ports.store(), scheduler, epoch, log, () -> end("fenced-by-store"));
    }

    /** Loads the stored state and starts to schedule. */
    public void start() {
        load(new ArrayList<>(), Optional.empty());
    }

    /**
     * Passes on records that were read from the cell's stream.
     *
     * @param records the records, in order
     */
    public void recordsRead(List<CellRecord> records) {
        if (owner.isEmpty()) {
            early.addAll(records);
            return;
        }
        handle(new OwnerInput.RecordsRead(records));
    }

    /**
     * Passes on new guarantees.
     *
     * @param changed the guarantees in force
     */
    public void guaranteesChanged(Guarantees changed) {
        guarantees = changed;
        handle(new OwnerInput.GuaranteesChanged(changed));
    }

    /** Hands the cell over: stores a release once the last append is certain, and ends. */
    public void release() {
        releasing = true;
        if (!appender.busy()) {
            storeRelease();
        }
    }

    /** Repeats at once what the store has not answered, as it answers again. */
    public void contactRegained() {
        appender.contactRegained();
    }

    /**
     * Gives the owner.
     *
     * @return the owner; empty until its state is loaded
     */
    public Optional<CellOwner> owner() {
        return owner;
    }

    /**
     * Gives the epoch.
     *
     * @return the epoch
     */
    public long epoch() {
        return epoch;
    }

    private void load(List<StreamStore.Placed> gathered, Optional<String> after) {
        ports.store().newest(Stream.CELL, after).subscribe(result -> {
            if (ended) {
                return;
            }
            if (result instanceof StreamStore.PageResult.Failed failed) {
                log.line("owner-load-failed", "epoch", epoch, "problem", failed.problem());
                scheduler.schedule(
                        () -> load(new ArrayList<>(), Optional.empty()), LOAD_RETRY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            StreamStore.PageResult.Page page = (StreamStore.PageResult.Page) result;
            gathered.addAll(page.entries());
            if (page.more() && !page.entries().isEmpty()) {
                load(
                        gathered,
                        Optional.of(page.entries()
                                .get(page.entries().size() - 1)
                                .entry()
                                .key()));
                return;
            }
            loaded(gathered);
        });
    }

    private void loaded(List<StreamStore.Placed> entries) {
        entries.sort((left, right) -> Long.compare(left.offset(), right.offset()));
        List<CellRecord> records = new RecordReader(log).read(entries);
        boolean mine = records.stream()
                .filter(CellRecord.Owner.class::isInstance)
                .map(CellRecord.Owner.class::cast)
                .allMatch(claim -> claim.epoch() == epoch && claim.node().equals(settings.node()));
        if (!mine) {
            end("claim-superseded");
            return;
        }
        long nowMs = clock.getAsLong();
        CellOwner loaded = new CellOwner(settings, epoch, log, nowMs);
        loaded.load(records, nowMs);
        owner = Optional.of(loaded);
        log.line("cell-taken", "epoch", epoch, "records", records.size(), "loadMs", nowMs - takenMs);
        handle(new OwnerInput.GuaranteesChanged(guarantees));
        handle(new OwnerInput.RecordsRead(List.copyOf(early)));
        early.clear();
        workers.start();
        ticks = scheduler.schedulePeriodically(
                () -> handle(new OwnerInput.Tick()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void handle(OwnerInput input) {
        if (ended || owner.isEmpty()) {
            return;
        }
        for (OwnerEffect effect : owner.get().handle(input, clock.getAsLong())) {
            carryOut(effect);
        }
    }

    private void carryOut(OwnerEffect effect) {
        if (ended) {
            return;
        }
        if (effect instanceof OwnerEffect.Append append) {
            append(append.records());
        } else if (effect instanceof OwnerEffect.Renew renew) {
            renew(renew);
        } else if (effect instanceof OwnerEffect.Start start) {
            ports.gateway()
                    .start(address(start.worker()), epoch, start)
                    .subscribe(outcome -> handle(new OwnerInput.StartAnswered(start.worker(), start.run(), outcome)));
        } else if (effect instanceof OwnerEffect.Stop stop) {
            ports.gateway()
                    .stop(address(stop.worker()), epoch, stop)
                    .subscribe(answered -> handle(new OwnerInput.StopAnswered(stop.worker(), stop.run(), answered)));
        } else if (effect instanceof OwnerEffect.StepDown stepDown) {
            end(stepDown.reason());
        }
    }

    private void renew(OwnerEffect.Renew renew) {
        long sentMs = clock.getAsLong();
        ports.gateway().renew(address(renew.worker()), epoch, renew).subscribe(result -> {
            if (result instanceof WorkerGateway.RenewResult.Answered answered) {
                handle(new OwnerInput.Renewed(renew.worker(), sentMs, answered.report()));
            } else {
                boolean fenced = result instanceof WorkerGateway.RenewResult.Fenced;
                handle(new OwnerInput.RenewalFailed(renew.worker(), fenced, result.toString()));
            }
        });
    }

    private String address(WorkerId worker) {
        return addresses.getOrDefault(worker, "");
    }

    private void append(List<CellRecord> records) {
        appender.append(entries(records), () -> {
            if (releasing) {
                storeRelease();
            } else {
                handle(new OwnerInput.Appended());
            }
        });
    }

    private List<StreamStore.Entry> entries(List<CellRecord> records) {
        return records.stream()
                .map(record -> new StreamStore.Entry(record.key(), codec.encode(record)))
                .toList();
    }

    private void storeRelease() {
        owner = Optional.empty();
        appender.append(entries(List.of(new CellRecord.Owner(settings.node(), epoch, true))), () -> end("released"));
    }

    private void end(String cause) {
        if (ended) {
            return;
        }
        ended = true;
        owner = Optional.empty();
        ticks.dispose();
        workers.close();
        appender.close();
        log.line("cell-given-up", "epoch", epoch, "cause", cause, "heldMs", clock.getAsLong() - takenMs);
        onEnd.run();
    }

    /** Turns the stream of workers into inputs. */
    private final class WorkerList implements StreamFollower.Listener {

        private final Map<String, WorkerId> listed = new HashMap<>();

        @Override
        public void snapshot(List<StreamStore.Placed> entries) {
            Set<String> missing = new TreeSet<>(listed.keySet());
            for (StreamStore.Placed placed : entries) {
                missing.remove(placed.entry().key());
            }
            missing.forEach(this::removed);
            entries(entries);
        }

        @Override
        public void entries(List<StreamStore.Placed> entries) {
            for (StreamStore.Placed placed : entries) {
                String key = placed.entry().key();
                if (placed.entry().value().length == 0) {
                    removed(key);
                    continue;
                }
                ports.directory().worker(key, placed.entry().value()).ifPresent(listing -> {
                    listed.put(key, listing.entry().id());
                    addresses.put(listing.entry().id(), listing.address());
                    handle(new OwnerInput.WorkerListed(listing.entry()));
                });
            }
        }

        @Override
        public void readToEnd() {
            // Nothing depends on how fresh the list is: a worker that is silent gets no work anyway.
        }

        private void removed(String key) {
            WorkerId id = listed.remove(key);
            if (id != null) {
                handle(new OwnerInput.WorkerUnlisted(id));
            }
        }
    }
}
