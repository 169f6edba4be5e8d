package org.fuchsiawinch.core.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * Starts jobs in order of arrival on the first workers that fit, without guarantees, reservations or corrections. Not
 * thread-safe.
 */
public final class FirstFitScheduler implements Scheduler {

    private final boolean strictOrder;
    private final Map<WorkerId, WorkerSpec> workers = new TreeMap<>();
    private final Map<WorkerId, Resources> free = new HashMap<>();
    private final Set<WorkerId> closed = new HashSet<>();
    private final Map<JobId, JobSpec> waiting = new LinkedHashMap<>();
    private final Map<AttemptId, Running> running = new HashMap<>();
    private final Map<JobId, Integer> attempts = new HashMap<>();

    /**
     * Creates the scheduler.
     *
     * @param strictOrder whether a job that does not fit blocks all jobs behind it (first-come-first-served) or is
     *     passed over (first fit)
     */
    public FirstFitScheduler(boolean strictOrder) {
        this.strictOrder = strictOrder;
    }

    @Override
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        List<Decision> decisions = new ArrayList<>();
        apply(event, decisions);
        startWaiting(decisions);
        return decisions;
    }

    @Override
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        if (!waiting.containsKey(job)) {
            return Optional.empty();
        }
        return Optional.of(Reason.of(ReasonCode.WAIT_CAPACITY));
    }

    private void apply(SchedulerEvent event, List<Decision> decisions) {
        if (event instanceof SchedulerEvent.WorkerJoined joined) {
            join(joined.worker());
        } else if (event instanceof SchedulerEvent.WorkerLeaving leaving) {
            closed.add(leaving.worker());
        } else if (event instanceof SchedulerEvent.WorkerInDoubt doubtful) {
            closed.add(doubtful.worker());
        } else if (event instanceof SchedulerEvent.WorkerLost lost) {
            lose(lost.worker(), decisions);
        } else if (event instanceof SchedulerEvent.JobSubmitted submitted) {
            waiting.put(submitted.job().id(), submitted.job());
        } else if (event instanceof SchedulerEvent.JobCancelled cancelled) {
            cancel(cancelled.job(), decisions);
        } else if (event instanceof SchedulerEvent.AttemptRecovered recovered) {
            recover(recovered);
        } else if (event instanceof SchedulerEvent.TaskCompleted completed) {
            complete(completed);
        } else if (event instanceof SchedulerEvent.TaskFailed failed) {
            breakGang(failed.task().attempt(), decisions);
        } else if (event instanceof SchedulerEvent.AttemptStopped stopped) {
            stopped(stopped.attempt(), decisions);
        }
    }

    private void join(WorkerSpec worker) {
        closed.remove(worker.id());
        if (workers.put(worker.id(), worker) == null) {
            free.put(worker.id(), worker.capacity());
        }
    }

    private void lose(WorkerId worker, List<Decision> decisions) {
        workers.remove(worker);
        free.remove(worker);
        closed.remove(worker);
        List<AttemptId> broken = running.values().stream()
                .filter(attempt -> attempt.uses(worker))
                .map(Running::id)
                .sorted((a, b) -> a.toString().compareTo(b.toString()))
                .toList();
        broken.forEach(id -> breakGang(id, decisions));
    }

    private void cancel(JobId job, List<Decision> decisions) {
        if (waiting.remove(job) != null) {
            decisions.add(new Decision.EndJob(job, attempts.containsKey(job), Reason.of(ReasonCode.END_CANCELLED)));
            return;
        }
        AttemptId id = new AttemptId(job, attempts.getOrDefault(job, 0));
        Running attempt = running.get(id);
        if (attempt == null || attempt.stopping) {
            return;
        }
        attempt.stopping = true;
        attempt.cancelled = true;
        decisions.add(new Decision.StopGang(id, StopMode.STOP, Reason.of(ReasonCode.STOP_CANCELLED)));
    }

    private void recover(SchedulerEvent.AttemptRecovered recovered) {
        waiting.remove(recovered.job().id());
        attempts.put(recovered.job().id(), recovered.attempt().number());
        occupy(recovered.job(), recovered.attempt(), recovered.placements());
    }

    private void complete(SchedulerEvent.TaskCompleted completed) {
        Running attempt = running.get(completed.task().attempt());
        if (attempt == null || !attempt.done.add(completed.task().part())) {
            return;
        }
        if (attempt.done.size() == attempt.placements.size() && !attempt.stopping) {
            release(attempt);
        }
    }

    private void breakGang(AttemptId id, List<Decision> decisions) {
        Running attempt = running.get(id);
        if (attempt == null || attempt.stopping) {
            return;
        }
        attempt.stopping = true;
        decisions.add(new Decision.StopGang(id, StopMode.STOP, Reason.of(ReasonCode.STOP_GANG_BROKEN)));
    }

    private void stopped(AttemptId id, List<Decision> decisions) {
        Running attempt = running.get(id);
        if (attempt == null) {
            return;
        }
        release(attempt);
        if (attempt.cancelled) {
            decisions.add(new Decision.EndJob(id.job(), true, Reason.of(ReasonCode.END_CANCELLED)));
            return;
        }
        if (!attempt.job.reclaimable()) {
            decisions.add(new Decision.EndJob(id.job(), true, Reason.of(ReasonCode.END_BROKEN_NOT_REPEATABLE)));
            return;
        }
        waiting.put(id.job(), attempt.job);
    }

    private void release(Running attempt) {
        running.remove(attempt.id);
        Resources part = attempt.job.shape().perPart();
        for (Placement placement : attempt.placements) {
            free.computeIfPresent(placement.worker(), (id, resources) -> resources.plus(part));
        }
    }

    private void startWaiting(List<Decision> decisions) {
        Iterator<JobSpec> jobs = waiting.values().iterator();
        while (jobs.hasNext()) {
            JobSpec job = jobs.next();
            Optional<List<Placement>> placements = place(job.shape());
            if (placements.isEmpty()) {
                if (strictOrder) {
                    return;
                }
                continue;
            }
            jobs.remove();
            AttemptId id = new AttemptId(job.id(), attempts.merge(job.id(), 1, Integer::sum));
            occupy(job, id, placements.get());
            decisions.add(new Decision.StartGang(id, placements.get(), false, Reason.of(ReasonCode.START_SPARE)));
        }
    }

    private void occupy(JobSpec job, AttemptId id, List<Placement> placements) {
        running.put(id, new Running(id, job, placements));
        Resources part = job.shape().perPart();
        for (Placement placement : placements) {
            free.computeIfPresent(placement.worker(), (worker, resources) -> resources.minus(part));
        }
    }

    private Optional<List<Placement>> place(Shape shape) {
        Map<String, List<Placement>> byDomain = new HashMap<>();
        for (WorkerSpec worker : workers.values()) {
            if (closed.contains(worker.id())) {
                continue;
            }
            List<Placement> found = byDomain.computeIfAbsent(domain(worker, shape), name -> new ArrayList<>());
            Resources left = free.get(worker.id());
            while (found.size() < shape.parts() && shape.perPart().fitsIn(left)) {
                found.add(new Placement(found.size(), worker.id()));
                left = left.minus(shape.perPart());
            }
            if (found.size() == shape.parts()) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    private static String domain(WorkerSpec worker, Shape shape) {
        return switch (shape.adjacency()) {
            case WORKER -> worker.id().value();
            case RACK -> worker.dataCentre() + "/" + worker.rack();
            case DATA_CENTRE -> worker.dataCentre();
        };
    }

    private static final class Running {
        private final AttemptId id;
        private final JobSpec job;
        private final List<Placement> placements;
        private final Set<Integer> done = new HashSet<>();
        private boolean stopping;
        private boolean cancelled;

        private Running(AttemptId id, JobSpec job, List<Placement> placements) {
            this.id = id;
            this.job = job;
            this.placements = placements;
        }

        private AttemptId id() {
            return id;
        }

        private boolean uses(WorkerId worker) {
            return placements.stream()
                    .anyMatch(placement -> placement.worker().equals(worker) && !done.contains(placement.part()));
        }
    }
}
