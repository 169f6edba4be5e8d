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

/** Open requests of callers and operators, kept until they can be answered. Not thread-safe. */
public final class RequestDesk {

    private final Map<JobId, List<Waiter>> byJob = new HashMap<>();
    private final Map<RecordId, Waiter> byRecord = new HashMap<>();

    /**
     * Adds a request that is answered once its job is accepted or finished, or at its timeout.
     *
     * @param requestId id of the request
     * @param job the job
     * @param untilMs Unix time in ms of the timeout
     * @param outcome whether to wait for the outcome rather than only for acceptance
     * @param sameJob returns whether an entry is the job that was requested; if not, the request is refused as its id
     *     was reused
     */
    public void awaitJob(long requestId, JobId job, long untilMs, boolean outcome, Predicate<JobEntry> sameJob) {
        byJob.computeIfAbsent(job, id -> new ArrayList<>()).add(new Waiter(requestId, untilMs, outcome, sameJob));
    }

    /**
     * Adds a request that is answered once a record of this node is read back, or at its timeout.
     *
     * @param requestId id of the request
     * @param record id of the record
     * @param untilMs Unix time in ms of the timeout
     */
    public void awaitRecord(long requestId, RecordId record, long untilMs) {
        byRecord.put(record, new Waiter(requestId, untilMs, false, job -> true));
    }

    /**
     * Answers the requests that wait for a change of a job which has now occurred.
     *
     * @param job current state of the job
     * @param effects receives the replies
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
     * Answers the request that waits for a record of this node.
     *
     * @param record id of the record
     * @param reply the reply
     * @param effects receives the reply
     */
    public void recordRead(RecordId record, NodeReply reply, Consumer<NodeEffect> effects) {
        Waiter waiter = byRecord.remove(record);
        if (waiter != null) {
            effects.accept(new NodeEffect.Reply(waiter.requestId(), reply));
        }
    }

    /**
     * Answers the requests whose timeout has passed.
     *
     * @param nowMs current Unix time in ms
     * @param jobs returns the entry of a job, or null if the job is not known
     * @param effects receives the replies
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
     * Answers all requests whose jobs are accepted, also those that wait for the outcome. Used when the node stops; the
     * caller can look the job up on another node by its id.
     *
     * @param jobs returns the entry of a job, or null if the job is not known
     * @param effects receives the replies
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
     * Returns the number of open requests.
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
