package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.protocol.node.NodeReply;

/**
 * Records what workers, callers and operators observe in a session, independently of the transcript. Expectations are
 * checked against it. Not thread-safe.
 */
final class Observations {

    private final Map<String, List<PartStart>> partStarts = new TreeMap<>();
    private final Map<String, List<ReceivedReply>> replies = new TreeMap<>();
    private final Map<String, List<Version>> versions = new TreeMap<>();
    private final Map<String, Integer> openRequestsByNode = new TreeMap<>();

    /** Records that a worker began to run a part. */
    void recordStart(TaskId task, long atMs) {
        partStarts
                .computeIfAbsent(task.attempt().job().value(), job -> new ArrayList<>())
                .add(new PartStart(task, atMs));
    }

    /** Records a reply to a caller or operator. */
    void recordReply(String party, long atMs, NodeReply reply) {
        replies.computeIfAbsent(party, key -> new ArrayList<>()).add(new ReceivedReply(atMs, reply));
    }

    /** Records that a document version came into force on a node. */
    void recordVersion(String node, int version, long atMs) {
        versions.computeIfAbsent(node, key -> new ArrayList<>()).add(new Version(version, atMs));
    }

    /** Records that a node finished draining, with its number of open requests. */
    void recordDrained(String node, int openRequests) {
        openRequestsByNode.put(node, openRequests);
    }

    /** Returns how often each part of a job began, by index of the part. */
    Map<Integer, Integer> runsByPart(String job) {
        Map<Integer, Integer> runs = new TreeMap<>();
        partStarts(job).forEach(start -> runs.merge(start.task().part(), 1, Integer::sum));
        return runs;
    }

    /** Returns the virtual time in ms at which the last part of a job's first attempt began; empty if none did. */
    OptionalLong firstAttemptStartMs(String job) {
        OptionalInt first = partStarts(job).stream()
                .mapToInt(start -> start.task().attempt().number())
                .min();
        return partStarts(job).stream()
                .filter(start -> start.task().attempt().number() == first.orElse(0))
                .mapToLong(PartStart::atMs)
                .max();
    }

    /** Returns the replies to a party in order of arrival. */
    List<ReceivedReply> replies(String party) {
        return replies.getOrDefault(party, List.of());
    }

    /** Returns the document versions of a node in the order in which they came into force. */
    List<Version> versions(String node) {
        return versions.getOrDefault(node, List.of());
    }

    /** Returns the number of open requests when a node finished draining; empty if it did not. */
    OptionalInt openRequestsAtDrain(String node) {
        return openRequestsByNode.containsKey(node)
                ? OptionalInt.of(openRequestsByNode.get(node))
                : OptionalInt.empty();
    }

    private List<PartStart> partStarts(String job) {
        return partStarts.getOrDefault(job, List.of());
    }

    /** Reply and the virtual time in ms of its arrival. */
    record ReceivedReply(long atMs, NodeReply reply) {}

    /** Document version and the virtual time in ms at which it came into force. */
    record Version(int version, long atMs) {}

    private record PartStart(TaskId task, long atMs) {}
}
