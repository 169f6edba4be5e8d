package org.fuchsiawinch.core.baseline;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;

/**
 * EASY backfill scheduler. The first job that does not fit gets a reservation based on declared run times, and later
 * jobs start only if they do not delay it. Has no guarantees and no estimate corrections. Not thread-safe.
 */
public final class BackfillScheduler implements Scheduler {

    private final QueueScheduler queue = new QueueScheduler(BackfillScheduler::startJobs);

    @Override
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        return queue.decide(event, nowMs);
    }

    @Override
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        return queue.waitReason(job, nowMs);
    }

    private static void startJobs(Collection<JobSpec> waiting, Fleet fleet, long nowMs) {
        Optional<Reservation> reservation = Optional.empty();
        Set<Shape> misfits = new HashSet<>();
        boolean blocked = false;
        for (JobSpec job : waiting) {
            if (misfits.contains(job.shape())) {
                continue;
            }
            Optional<List<Placement>> placements = fleet.place(job);
            if (placements.isEmpty()) {
                if (!fleet.hasFailed(job.id())) {
                    misfits.add(job.shape());
                }
                if (!blocked) {
                    blocked = true;
                    reservation = reserve(job, fleet, nowMs);
                }
                continue;
            }
            if (reservation.isEmpty()) {
                fleet.start(job, placements.get(), nowMs);
            } else {
                backfill(job, placements.get(), reservation.get(), fleet, nowMs);
            }
        }
    }

    private static void backfill(
            JobSpec job, List<Placement> placements, Reservation reservation, Fleet fleet, long nowMs) {
        if (nowMs + fleet.declaredRunMs(job, placements) <= reservation.startMs()) {
            fleet.start(job, placements, nowMs);
            return;
        }
        Map<WorkerId, Resources> spare = fleet.openCapacity();
        spare.replaceAll((worker, free) -> least(free, reservation.spare().getOrDefault(worker, Resources.NONE)));
        fleet.place(job.shape(), spare).ifPresent(found -> {
            Fleet.take(job.shape(), found, reservation.spare());
            fleet.start(job, found, nowMs);
        });
    }

    private static Optional<Reservation> reserve(JobSpec job, Fleet fleet, long nowMs) {
        Map<WorkerId, Resources> amounts = new HashMap<>(fleet.openCapacity());
        List<RunningGang> byEnd = fleet.runningGangs().stream()
                .sorted(Comparator.comparingLong(gang -> gang.estimatedEndMs))
                .toList();
        for (RunningGang gang : byEnd) {
            Fleet.giveBack(gang, amounts);
            Optional<List<Placement>> found = fleet.place(job.shape(), amounts);
            if (found.isPresent()) {
                Fleet.take(job.shape(), found.get(), amounts);
                return Optional.of(new Reservation(Math.max(nowMs, gang.estimatedEndMs), amounts));
            }
        }
        return Optional.empty();
    }

    private static Resources least(Resources one, Resources other) {
        return new Resources(
                Math.min(one.cpuMillis(), other.cpuMillis()),
                Math.min(one.memoryMb(), other.memoryMb()),
                Math.min(one.accelerators(), other.accelerators()),
                Math.min(one.slots(), other.slots()),
                Math.min(one.connections(), other.connections()));
    }

    /** Start time of the first blocked job and the capacity that remains on each worker at that time. */
    private record Reservation(long startMs, Map<WorkerId, Resources> spare) {}
}
