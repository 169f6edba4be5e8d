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
public final class PendingRequests {

    private final Map<JobId, List<PendingRequest>> byJob = new HashMap<>();
    private final Map<RecordId, PendingRequest> byRecord = new HashMap<>();

    /**
     * Adds a request that is answered once its job is accepted or finished, or at its timeout.
     *
     * @param requestId id of the request
     * @param job the job
     * @param timeoutAtMs Unix time in ms of the timeout
     * @param awaitsOutcome whether to wait for the outcome rather than only for acceptance
     * @param isSameJob returns whether an entry is the job that was requested; if not, the request is refused as its id
     *     was reused
     */
    public void awaitJob(
            long requestId, JobId job, long timeoutAtMs, boolean awaitsOutcome, Predicate<JobEntry> isSameJob) {
        byJob.computeIfAbsent(job, id -> new ArrayList<>())
                .add(new PendingRequest(requestId, timeoutAtMs, awaitsOutcome, isSameJob));
    }

    /**
     * Adds a request that is answered once a record of this node is read back, or at its timeout.
     *
     * @param requestId id of the request
     * @param record id of the record
     * @param timeoutAtMs Unix time in ms of the timeout
     */
    public void awaitRecord(long requestId, RecordId record, long timeoutAtMs) {
        byRecord.put(record, new PendingRequest(requestId, timeoutAtMs, false, job -> true));
    }

    /**
     * Answers the requests that wait for a change of a job which has now occurred.
     *
     * @param job current state of the job
     * @param effects receives the replies
     */
    public void jobChanged(JobEntry job, Consumer<NodeEffect> effects) {
        List<PendingRequest> requests = byJob.get(job.spec().id());
        if (requests == null) {
            return;
        }
        boolean finished = job.status() == JobStatus.FINISHED;
        requests.removeIf(request -> {
            if (request.awaitsOutcome() && !finished && request.isSameJob().test(job)) {
                return false;
            }
            effects.accept(new NodeEffect.Reply(request.requestId(), request.replyFor(job)));
            return true;
        });
        if (requests.isEmpty()) {
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
    public void recordReadBack(RecordId record, NodeReply reply, Consumer<NodeEffect> effects) {
        PendingRequest request = byRecord.remove(record);
        if (request != null) {
            effects.accept(new NodeEffect.Reply(request.requestId(), reply));
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
        Iterator<Map.Entry<JobId, List<PendingRequest>>> entries =
                byJob.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<JobId, List<PendingRequest>> entry = entries.next();
            JobEntry job = jobs.apply(entry.getKey());
            entry.getValue().removeIf(request -> {
                NodeReply reply = job == null ? new NodeReply.Pending() : request.replyFor(job);
                return answerIfExpired(request, nowMs, reply, effects);
            });
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
        byRecord.values().removeIf(request -> answerIfExpired(request, nowMs, new NodeReply.Pending(), effects));
    }

    /**
     * Answers all requests whose jobs are accepted, also those that wait for the outcome. Used when the node stops; the
     * caller can look the job up on another node by its id.
     *
     * @param jobs returns the entry of a job, or null if the job is not known
     * @param effects receives the replies
     */
    public void answerAccepted(Function<JobId, JobEntry> jobs, Consumer<NodeEffect> effects) {
        Iterator<Map.Entry<JobId, List<PendingRequest>>> entries =
                byJob.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<JobId, List<PendingRequest>> entry = entries.next();
            JobEntry job = jobs.apply(entry.getKey());
            if (job == null) {
                continue;
            }
            entry.getValue()
                    .forEach(request ->
                            effects.accept(new NodeEffect.Reply(request.requestId(), request.replyFor(job))));
            entries.remove();
        }
    }

    /**
     * Returns the number of open requests.
     *
     * @return number of requests
     */
    public int size() {
        return byRecord.size() + byJob.values().stream().mapToInt(List::size).sum();
    }

    private static boolean answerIfExpired(
            PendingRequest request, long nowMs, NodeReply reply, Consumer<NodeEffect> effects) {
        if (nowMs < request.timeoutAtMs()) {
            return false;
        }
        effects.accept(new NodeEffect.Reply(request.requestId(), reply));
        return true;
    }

    private record PendingRequest(
            long requestId, long timeoutAtMs, boolean awaitsOutcome, Predicate<JobEntry> isSameJob) {

        private NodeReply replyFor(JobEntry job) {
            if (isSameJob.test(job)) {
                return new NodeReply.Job(job);
            }
            return new NodeReply.Refused(NodeReply.RefusalCode.KEY_REUSED, OptionalLong.empty());
        }
    }
}
