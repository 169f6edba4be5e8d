package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.cell.Election;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.Predecessor;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Simulated node: follows the stream, claims the cell by election and carries out the effects of its owner. */
final class SimulatedNode {

    private static final long POLL_MS = 50;
    private static final long TICK_MS = 100;
    private static final long APPEND_RETRY_MS = 600;

    final String name;
    boolean cutFromStore;
    private final FaultSimulation simulation;
    private final long seed;
    private Election election;
    private int readOffset;

    /** Whether the process has read the stream; it claims nothing before. */
    private boolean loaded;

    private int process;
    private long frozenUntilMs;

    /** Time in ms for which the node's clock has stood still while its machine was suspended. */
    private long clockLagMs;

    private Optional<Session> session = Optional.empty();

    SimulatedNode(FaultSimulation simulation, String name, long seed) {
        this.simulation = simulation;
        this.name = name;
        this.seed = seed;
    }

    void start() {
        election = new Election(name, seed, false, nowMs());
        readOffset = 0;
        loaded = false;
        poll();
    }

    /** Ends the process and starts it again after a delay. */
    void kill(long downMs) {
        process++;
        session.ifPresent(current -> current.ended = true);
        session = Optional.empty();
        simulation.log(name + " killed");
        int killed = process;
        simulation.schedule(downMs, () -> {
            if (process == killed) {
                start();
            }
        });
    }

    void freeze(long forMs) {
        frozenUntilMs = Math.max(frozenUntilMs, simulation.nowMs + forMs);
        simulation.log(name + " frozen for " + forMs);
    }

    /** Freezes the process together with its clock. */
    void suspend(long forMs) {
        freeze(forMs);
        clockLagMs += forMs;
    }

    /** Returns the time in ms on the node's clock. */
    long nowMs() {
        return simulation.nowMs - clockLagMs;
    }

    boolean owns() {
        return session.filter(current -> current.owner != null).isPresent();
    }

    private boolean storeReachable() {
        return !cutFromStore && !simulation.store.down;
    }

    /** Runs code of the present process after a delay, or once the process is no longer frozen. */
    private void later(long delayMs, Runnable action) {
        int scheduledBy = process;
        simulation.schedule(delayMs, () -> runUnlessFrozen(scheduledBy, action));
    }

    private void runUnlessFrozen(int scheduledBy, Runnable action) {
        if (process != scheduledBy) {
            return;
        }
        if (simulation.nowMs < frozenUntilMs) {
            simulation.schedule(frozenUntilMs - simulation.nowMs, () -> runUnlessFrozen(scheduledBy, action));
            return;
        }
        action.run();
    }

    private void poll() {
        if (storeReachable()) {
            List<CellRecord> records =
                    List.copyOf(simulation.store.stream.subList(readOffset, simulation.store.stream.size()));
            readOffset += records.size();
            records.forEach(record -> election.apply(record, nowMs()));
            election.streamEndReached(nowMs());
            loaded = true;
            if (!records.isEmpty()) {
                session.ifPresent(current -> current.handle(new OwnerInput.RecordsRead(records)));
            }
            session.ifPresent(Session::readWorkerList);
        }
        if (loaded && session.isEmpty()) {
            election.epochToClaim(nowMs()).ifPresent(epoch -> {
                session = Optional.of(new Session(epoch));
                session.get().claim();
            });
        }
        later(POLL_MS, this::poll);
    }

    /** One ownership, from its claim to its end. */
    final class Session {

        private final long epoch;
        private final Map<WorkerId, WorkerRegistration> listed = new TreeMap<>();
        private final long claimSentMs = nowMs();
        private final Predecessor predecessor = election.predecessor();
        private final int claimedAt = readOffset;
        private CellOwner owner;
        private boolean ended;
        private long appendSequence;

        /** Lag in ms of the node's clock that the owner knows of. */
        private long knownClockLagMs = clockLagMs;

        private Session(long epoch) {
            this.epoch = epoch;
        }

        private void claim() {
            append(List.of(new CellRecord.Owner(name, epoch, false)), this::load);
        }

        private void load() {
            if (!storeReachable()) {
                later(200, this::load);
                return;
            }
            List<CellRecord> records = simulation.store.newest();
            boolean inForce = records.stream()
                    .filter(CellRecord.Owner.class::isInstance)
                    .map(CellRecord.Owner.class::cast)
                    .allMatch(claim -> claim.epoch() == epoch);
            if (!inForce) {
                end("claim superseded");
                return;
            }
            owner = new CellOwner(
                    OwnerSettings.of(name, SimulatedWorker.MAX_LEASE_MS, 3, 60_000),
                    epoch,
                    (event, pairs) -> simulation.log(name + " " + event + " " + List.of(pairs)),
                    claimSentMs,
                    nowMs());
            // Another record may have been stored since the claim was sent; it has no condition here.
            boolean certain =
                    simulation.store.stream.get(claimedAt) instanceof CellRecord.Owner claim && claim.epoch() == epoch;
            owner.load(records, Optional.of(predecessor).filter(found -> certain), nowMs());
            simulation.log(name + " owns the cell under " + epoch);
            tick();
        }

        private void tick() {
            if (!ended) {
                handle(new OwnerInput.Tick());
                later(TICK_MS, this::tick);
            }
        }

        private void readWorkerList() {
            if (owner == null) {
                return;
            }
            Map<WorkerId, WorkerRegistration> current = new TreeMap<>(simulation.store.listed);
            for (WorkerId worker : List.copyOf(listed.keySet())) {
                if (!current.containsKey(worker)) {
                    listed.remove(worker);
                    handle(new OwnerInput.WorkerUnlisted(worker));
                }
            }
            current.forEach((worker, registration) -> {
                if (!registration.equals(listed.put(worker, registration))) {
                    handle(new OwnerInput.WorkerListed(registration));
                }
            });
        }

        /** Delivers an answer of a worker to the owner. */
        void deliver(OwnerInput input) {
            later(0, () -> handle(input));
        }

        private void handle(OwnerInput input) {
            if (ended || owner == null) {
                return;
            }
            if (clockLagMs != knownClockLagMs) {
                knownClockLagMs = clockLagMs;
                owner.handle(new OwnerInput.Suspended(), nowMs()).forEach(this::executeUnlessEnded);
            }
            owner.handle(input, nowMs()).forEach(this::executeUnlessEnded);
        }

        private void executeUnlessEnded(OwnerEffect effect) {
            if (!ended) {
                execute(effect);
            }
        }

        private void execute(OwnerEffect effect) {
            if (effect instanceof OwnerEffect.Append append) {
                append(append.records(), () -> handle(new OwnerInput.Appended()));
            } else if (effect instanceof OwnerEffect.StepDown stepDown) {
                end(stepDown.reason());
            } else {
                simulation.links.send(SimulatedNode.this, this, epoch, effect);
            }
        }

        private void end(String cause) {
            ended = true;
            simulation.log(name + " gives up " + epoch + ": " + cause);
            session = session.filter(current -> current != this);
        }

        private void append(List<CellRecord> records, Runnable stored) {
            tryAppend(++appendSequence, records, stored);
        }

        /** Sends an append, and sends it again until it is answered. */
        private void tryAppend(long sequence, List<CellRecord> records, Runnable stored) {
            boolean[] answered = {false};
            if (storeReachable()) {
                simulation.links.append(() -> simulation.store.append(epoch, sequence, records), valid -> {
                    boolean reachable = storeReachable();
                    later(2, () -> {
                        if (ended || answered[0] || !reachable || sequence != appendSequence) {
                            return;
                        }
                        answered[0] = true;
                        if (valid) {
                            stored.run();
                        } else {
                            end("fenced by the store");
                        }
                    });
                });
            }
            later(APPEND_RETRY_MS, () -> {
                if (!ended && !answered[0] && sequence == appendSequence) {
                    answered[0] = true;
                    tryAppend(sequence, records, stored);
                }
            });
        }
    }
}
