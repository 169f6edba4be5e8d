package org.fuchsiawinch.protocol.node.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.RecordId;

/** Holds the open requests of callers and operators until they can be answered. Not thread-safe. */
public final class RequestDesk {

    private final Map<JobId, List<Waiter>> byJob = new HashMap<>();
    private final Map<RecordId, Waiter> byRecord = new HashMap<>();

    /**
     * Keeps a request until its job is accepted or finished, or its time is over.
     *
     * @param requestId the request
     * @param job the job
     * @param untilMs time in ms since the epoch at which it is answered in any case
     * @param outcome whether to wait for the outcome rather than for acceptance
     * @param sameJob says whether an entry is the job that was requested; if not, its key was reused
     */
    public void awaitJob(long requestId, JobId job, long untilMs, boolean outcome, Predicate<JobEntry> sameJob) {
        byJob.computeIfAbsent(job, id -> new ArrayList<>()).add(new Waiter(requestId, untilMs, outcome, sameJob));
    }

    /**
     * Keeps a request until an own record is read back, or its time is over.
     *
     * @param requestId the request
     * @param record the record
     * @param untilMs time in ms since the epoch at which it is answered in any case
     */
    public void awaitRecord(long requestId, RecordId record, long untilMs) {
        byRecord.put(record, new Waiter(requestId, untilMs, false, job -> true));
    }

    /**
     * Answers those who wait for a job that has changed.
     *
     * @param job the job as it stands
     * @param effects takes the answers
     */
    public void jobChanged(JobEntry job, Consumer<NodeEffect> effects) {
        List<Waiter> waiters = byJob.get(job.spec().id());
        if (waiters == null) {
            return;
        }
        boolean finished = job.status() == JobStatus.FINISHED;
        waiters.removeIf(waiter -> {
            if (waiter.outcome() && !finished && waiter.sameJob().test(job)) {
                return false;
            }
            effects.accept(new NodeEffect.Reply(waiter.requestId(), waiter.replyOf(job)));
            return true;
        });
        if (waiters.isEmpty()) {
            byJob.remove(job.spec().id());
        }
    }

    /**
     * Answers the one who waits for an own record.
     *
     * @param record the record
     * @param reply the answer
     * @param effects takes the answer
     */
    public void recordRead(RecordId record, NodeReply reply, Consumer<NodeEffect> effects) {
        Waiter waiter = byRecord.remove(record);
        if (waiter != null) {
            effects.accept(new NodeEffect.Reply(waiter.requestId(), reply));
        }
    }

    /**
     * Answers the requests whose time is over.
     *
     * @param nowMs present time in ms since the epoch
     * @param jobs looks up a job's entry, null if unknown
     * @param effects takes the answers
     */
    public void expire(long nowMs, Function<JobId, JobEntry> jobs, Consumer<NodeEffect> effects) {
        Iterator<Map.Entry<JobId, List<Waiter>>> entries = byJob.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<JobId, List<Waiter>> entry = entries.next();
            JobEntry job = jobs.apply(entry.getKey());
            entry.getValue().removeIf(waiter -> {
                NodeReply reply = job == null ? new NodeReply.Pending() : waiter.replyOf(job);
                return expired(waiter, nowMs, reply, effects);
            });
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
        byRecord.values().removeIf(waiter -> expired(waiter, nowMs, new NodeReply.Pending(), effects));
    }

    /**
     * Answers all requests whose jobs are accepted, whether or not they wait for the outcome. A stopping node does so:
     * the caller asks another node by the job's id.
     *
     * @param jobs looks up a job's entry, null if unknown
     * @param effects takes the answers
     */
    public void answerAccepted(Function<JobId, JobEntry> jobs, Consumer<NodeEffect> effects) {
        Iterator<Map.Entry<JobId, List<Waiter>>> entries = byJob.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<JobId, List<Waiter>> entry = entries.next();
            JobEntry job = jobs.apply(entry.getKey());
            if (job == null) {
                continue;
            }
            entry.getValue()
                    .forEach(waiter -> effects.accept(new NodeEffect.Reply(waiter.requestId(), waiter.replyOf(job))));
            entries.remove();
        }
    }

    /**
     * Counts the open requests.
     *
     * @return number of requests
     */
    public int open() {
        return byRecord.size() + byJob.values().stream().mapToInt(List::size).sum();
    }

    private static boolean expired(Waiter waiter, long nowMs, NodeReply reply, Consumer<NodeEffect> effects) {
        if (nowMs < waiter.untilMs()) {
            return false;
        }
        effects.accept(new NodeEffect.Reply(waiter.requestId(), reply));
        return true;
    }

    private record Waiter(long requestId, long untilMs, boolean outcome, Predicate<JobEntry> sameJob) {

        private NodeReply replyOf(JobEntry job) {
            if (sameJob.test(job)) {
                return new NodeReply.Job(job);
            }
            return new NodeReply.Refused(NodeReply.RefusalCode.KEY_REUSED, OptionalLong.empty());
        }
    }
}
