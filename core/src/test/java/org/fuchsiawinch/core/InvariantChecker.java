package org.fuchsiawinch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;

/**
 * Checks decisions against invariants derived from the events alone, without access to the scheduler's state. All
 * shapes must have equal parts, so that a search can decide whether the guarantees are feasible.
 */
final class InvariantChecker {

    final TreeMap<WorkerId, WorkerSpec> workers = new TreeMap<>(Comparator.comparing(WorkerId::value));
    final Set<WorkerId> unavailable = new HashSet<>();
    final Set<WorkerId> quarantined = new HashSet<>();
    final Map<AttemptId, Decision.StartGang> running = new HashMap<>();
    final Set<AttemptId> promoted = new HashSet<>();
    final Map<JobId, JobSpec> jobs = new HashMap<>();
    final Set<JobId> started = new HashSet<>();
    final Set<JobId> resumable = new HashSet<>();
    Policy policy;
    boolean alarmed;

    /** Applies a decision and returns the invariant that it violates, or an empty text. */
    String checkDecision(Decision decision) {
        if (decision instanceof Decision.StartGang start) {
            return checkStart(start);
        }
        if (decision instanceof Decision.PromoteGang promotion) {
            promoted.add(promotion.attempt());
        } else if (decision instanceof Decision.GuaranteeLost) {
            alarmed = true;
        } else if (decision instanceof Decision.EndJob end && end.ran() != started.contains(end.job())) {
            return "job " + end.job() + " ended with ran=" + end.ran() + " although started=" + !end.ran();
        }
        return "";
    }

    void ended(AttemptId attempt, boolean checkpointed) {
        running.remove(attempt);
        promoted.remove(attempt);
        if (checkpointed) {
            resumable.add(attempt.job());
        }
    }

    /** Returns the invariant that the current state violates, or an empty text. */
    String checkState() {
        Map<WorkerId, Resources> all = used(false);
        for (WorkerSpec worker : workers.values()) {
            Resources used = all.getOrDefault(worker.id(), Resources.NONE);
            if (!used.fitsIn(worker.capacity())) {
                return "worker " + worker.id() + " overcommitted: " + used + " used of " + worker.capacity();
            }
        }
        return alarmed || satisfiable() ? "" : "guarantees not satisfiable and no alarm raised";
    }

    private String checkStart(Decision.StartGang start) {
        JobSpec job = jobs.get(start.attempt().job());
        boolean first = started.add(job.id());
        if (!first && !job.idempotent() && !resumable.remove(job.id())) {
            return "non-repeatable job started again: " + job.id();
        }
        if (running.keySet().stream().anyMatch(id -> id.job().equals(job.id()))) {
            return "job runs twice at the same time: " + job.id();
        }
        if (start.lent() && !job.reclaimable()) {
            return "non-repeatable job on lent capacity: " + job.id();
        }
        Set<String> domains = new HashSet<>();
        for (Placement placement : start.placements()) {
            WorkerSpec worker = workers.get(placement.worker());
            if (worker == null || !acceptsWork(placement.worker())) {
                return "job " + job.id() + " started on unavailable worker " + placement.worker();
            }
            domains.add(domain(worker, job.shape().adjacency()));
        }
        running.put(start.attempt(), start);
        boolean whole = start.placements().size() == job.shape().parts() && domains.size() == 1;
        return whole
                ? ""
                : "job " + job.id() + " started " + start.placements().size() + " of "
                        + job.shape().parts() + " parts in adjacency domains " + domains;
    }

    private boolean acceptsWork(WorkerId worker) {
        return !unavailable.contains(worker) && !quarantined.contains(worker);
    }

    private static String domain(WorkerSpec worker, Adjacency adjacency) {
        return switch (adjacency) {
            case WORKER -> worker.id().value();
            case RACK -> worker.rack();
            default -> worker.dataCentre();
        };
    }

    private Map<WorkerId, Resources> used(boolean nonPreemptibleOnly) {
        Map<WorkerId, Resources> used = new HashMap<>();
        running.forEach((id, start) -> {
            if (nonPreemptibleOnly && start.lent() && !promoted.contains(id)) {
                return;
            }
            Resources part = jobs.get(id.job()).shape().perPart();
            start.placements().forEach(placement -> used.merge(placement.worker(), part, Resources::plus));
        });
        return used;
    }

    /** Returns whether all unused guarantees fit on disjoint capacity that no non-preemptible work uses. */
    private boolean satisfiable() {
        Map<WorkerId, Resources> nonPreemptible = used(true);
        TreeMap<WorkerId, Integer> freeAccelerators = new TreeMap<>(Comparator.comparing(WorkerId::value));
        workers.values().stream()
                .filter(worker -> acceptsWork(worker.id()))
                .forEach(worker -> freeAccelerators.put(
                        worker.id(),
                        worker.capacity()
                                .minus(nonPreemptible.getOrDefault(worker.id(), Resources.NONE))
                                .accelerators()));
        List<Shape> unused = new ArrayList<>();
        policy.workspaces().forEach((workspace, rules) -> rules.guarantees().forEach(guarantee -> {
            long inUse = running.entrySet().stream()
                    .filter(entry -> !entry.getValue().lent() || promoted.contains(entry.getKey()))
                    .filter(entry -> jobs.get(entry.getKey().job()).workspace().equals(workspace))
                    .count();
            for (long i = inUse; i < guarantee.count(); i++) {
                unused.add(guarantee.shape());
            }
        }));
        unused.sort(Comparator.comparing(Shape::adjacency).thenComparing(shape -> -shape.parts()));
        return placeAll(unused, 0, freeAccelerators);
    }

    private boolean placeAll(List<Shape> shapes, int index, TreeMap<WorkerId, Integer> freeAccelerators) {
        if (index == shapes.size()) {
            return true;
        }
        Shape shape = shapes.get(index);
        Set<String> domains = new HashSet<>();
        freeAccelerators.keySet().forEach(id -> domains.add(domain(workers.get(id), shape.adjacency())));
        for (String domain : domains.stream().sorted().toList()) {
            TreeMap<WorkerId, Integer> left = new TreeMap<>(freeAccelerators);
            int missing = shape.parts();
            for (WorkerId id : freeAccelerators.keySet()) {
                if (domain(workers.get(id), shape.adjacency()).equals(domain)) {
                    int taken = Math.min(missing, Math.max(0, freeAccelerators.get(id)));
                    left.merge(id, -taken, Integer::sum);
                    missing -= taken;
                }
            }
            if (missing == 0 && placeAll(shapes, index + 1, left)) {
                return true;
            }
        }
        return false;
    }
}
