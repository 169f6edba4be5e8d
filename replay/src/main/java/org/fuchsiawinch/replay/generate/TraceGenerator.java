package org.fuchsiawinch.replay.generate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;

/**
 * Generates the sample traces; equal kinds and seeds give equal traces. Stateless; thread-safe.
 */
public final class TraceGenerator {

    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 60 * MINUTE_MS;
    /** Duration of the base load; the rest of the horizon lets the jobs finish. */
    private static final long LOAD_DURATION_MS = 4 * HOUR_MS;

    private static final long HORIZON_MS = 24 * HOUR_MS;
    /** One accelerator more than any worker has. */
    private static final int IMPOSSIBLE_ACCELERATORS = 9;

    /**
     * Generates a trace.
     *
     * @param kind kind of the trace
     * @param seed seed of all random choices
     * @return the trace
     */
    public Trace generate(TraceKind kind, long seed) {
        return new TraceBuilder(kind, seed).build();
    }

    /** Trace that is being generated. */
    private static final class TraceBuilder {

        private final TraceKind kind;
        private final SampleUser user;
        private final Random random;
        private final JobFactory jobs;
        private final List<TraceEvent> events = new ArrayList<>();
        private final List<WorkerId> workers = new ArrayList<>();

        private TraceBuilder(TraceKind kind, long seed) {
            this.kind = kind;
            this.user = kind.user();
            this.random = new Random(seed * 31 + kind.name().hashCode());
            this.jobs = new JobFactory(random, user, kind.scenario() == Scenario.WRONG_ESTIMATES);
        }

        private Trace build() {
            addWorkers();
            double share = kind.scenario() == Scenario.FLOOD_OVER_GANG ? 0.6 : 1.0;
            user.workloads().forEach(workload -> addLoad(workload, 0, LOAD_DURATION_MS, workload.perHour() * share));
            addImpossibleJob();
            addScenario();
            events.sort(Comparator.comparingLong(TraceEvent::atMs));
            return new Trace(kind.name(), HORIZON_MS, events);
        }

        private void addWorkers() {
            for (RackSpec rack : user.racks()) {
                for (int number = 1; number <= rack.workers(); number++) {
                    WorkerId id = new WorkerId(rack.dataCentre() + "-" + rack.rack() + "-" + number);
                    double speed = Math.round(rack.speed() * (0.9 + 0.2 * random.nextDouble()) * 100) / 100.0;
                    Resources capacity = new Resources(30_000, user.workerMemoryMb(), 8, 8, 64);
                    workers.add(id);
                    events.add(new TraceEvent.WorkerJoins(
                            0, new WorkerSpec(id, rack.dataCentre(), rack.rack(), capacity, speed)));
                }
            }
        }

        /** Adds submits as a Poisson process of the given rate. */
        private void addLoad(Workload workload, long fromMs, long untilMs, double perHour) {
            double atMs = fromMs;
            while (true) {
                atMs += -Math.log(1 - random.nextDouble()) * HOUR_MS / perHour;
                if (atMs >= untilMs) {
                    return;
                }
                events.add(new TraceEvent.Submit(Math.round(atMs), jobs.create(workload)));
            }
        }

        private void addImpossibleJob() {
            Workload workload = user.workload(user.gangKind());
            GangSize size = new GangSize(100, 1, IMPOSSIBLE_ACCELERATORS, Adjacency.WORKER);
            events.add(new TraceEvent.Submit(30 * MINUTE_MS, jobs.create(workload, size)));
        }

        /** Adds the events of the scenario; for wrong estimates only the usage lag, since the jobs already differ. */
        private void addScenario() {
            switch (kind.scenario()) {
                case FESTIVAL_BURST -> addFestivalBurst();
                case FLOOD_OVER_GANG -> addFlood();
                case CANCEL_WAVE -> addCancelWave();
                case FLAPPING_WORKERS -> addFlappingWorkers();
                case RACK_LOST -> addRackLoss();
                default -> events.add(new TraceEvent.UsageLag(0, 20_000));
            }
        }

        private void addFestivalBurst() {
            long startMs = HOUR_MS;
            addLoad(user.workload(user.gangKind()), startMs, startMs + 15 * MINUTE_MS, 80);
            addLoad(user.workload(user.urgentKind()), startMs, startMs + 40 * MINUTE_MS, 300);
            addLoad(user.workload(user.smallKind()), startMs, startMs + 30 * MINUTE_MS, 200);
        }

        private void addFlood() {
            Workload small = user.workload(user.smallKind());
            Workload slow = new Workload(
                    small.workspace(), small.kind(), small.sizes(), 0, 300, 1_500, 0, 0.5, small.urgency());
            addLoad(slow, 20 * MINUTE_MS, 3 * HOUR_MS, 220);
            Workload gangs = user.workload(user.gangKind());
            GangSize largest = gangs.sizes().get(gangs.sizes().size() - 1);
            for (int count = 0; count < 4; count++) {
                long atMs = 40 * MINUTE_MS + count * 25 * MINUTE_MS;
                events.add(new TraceEvent.Submit(atMs, jobs.create(gangs, largest)));
            }
        }

        private void addCancelWave() {
            addLoad(user.workload(user.gangKind()), HOUR_MS, HOUR_MS + 20 * MINUTE_MS, 60);
            addLoad(user.workload(user.smallKind()), HOUR_MS, HOUR_MS + 20 * MINUTE_MS, 400);
            addLoad(user.workload(user.urgentKind()), HOUR_MS + 19 * MINUTE_MS, HOUR_MS + 20 * MINUTE_MS, 3_000);
            long waveMs = HOUR_MS + 20 * MINUTE_MS;
            for (TraceEvent event : List.copyOf(events)) {
                if (event instanceof TraceEvent.Submit submit && cancelledByWave(submit, waveMs)) {
                    JobId job = submit.job().spec().id();
                    events.add(new TraceEvent.Cancel(waveMs + random.nextInt(2_000), job));
                }
            }
        }

        private boolean cancelledByWave(TraceEvent.Submit submit, long waveMs) {
            boolean recent = submit.atMs() < waveMs && submit.atMs() > waveMs - 20 * MINUTE_MS;
            return recent && random.nextDouble() < 0.6;
        }

        private void addFlappingWorkers() {
            for (int index = 0; index < workers.size(); index += 5) {
                flap(workers.get(index));
            }
            events.add(new TraceEvent.WorkerFaulty(50 * MINUTE_MS, workers.get(2), 110 * MINUTE_MS));
            events.add(new TraceEvent.WorkerFaulty(80 * MINUTE_MS, workers.get(17), 150 * MINUTE_MS));
            events.add(new TraceEvent.LogOutage(170 * MINUTE_MS, 180 * MINUTE_MS));
        }

        private void flap(WorkerId worker) {
            long atMs = 30 * MINUTE_MS + random.nextInt((int) (20 * MINUTE_MS));
            while (atMs < 3 * HOUR_MS) {
                boolean silent = random.nextBoolean();
                events.add(
                        silent ? new TraceEvent.WorkerSilent(atMs, worker) : new TraceEvent.WorkerLost(atMs, worker));
                atMs += 1_000 + random.nextInt(silent ? 15_000 : 120_000);
                events.add(new TraceEvent.WorkerBack(atMs, worker));
                atMs += 5 * MINUTE_MS + random.nextInt((int) (25 * MINUTE_MS));
            }
        }

        private void addRackLoss() {
            RackSpec rack = user.racks().get(2);
            String prefix = rack.dataCentre() + "-" + rack.rack() + "-";
            List<WorkerId> inRack = workers.stream()
                    .filter(worker -> worker.value().startsWith(prefix))
                    .toList();
            inRack.forEach(worker -> events.add(new TraceEvent.WorkerLost(80 * MINUTE_MS, worker)));
            inRack.forEach(worker -> events.add(new TraceEvent.WorkerBack(130 * MINUTE_MS, worker)));
            for (int count = 0; count < 3; count++) {
                WorkerId leaving = workers.get(count * 2);
                events.add(new TraceEvent.WorkerLeaving(150 * MINUTE_MS + count * MINUTE_MS, leaving));
                events.add(new TraceEvent.WorkerBack(210 * MINUTE_MS, leaving));
            }
            addLoad(user.workload(user.gangKind()), 75 * MINUTE_MS, 90 * MINUTE_MS, 40);
        }
    }
}
