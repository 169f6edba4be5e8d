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
final class Observed {

    private final Map<String, List<Begin>> begins = new TreeMap<>();
    private final Map<String, List<Answer>> answers = new TreeMap<>();
    private final Map<String, List<Version>> versions = new TreeMap<>();
    private final Map<String, Integer> drained = new TreeMap<>();

    /** Records that a worker began to run a part. */
    void began(TaskId task, long atMs) {
        begins.computeIfAbsent(task.attempt().job().value(), job -> new ArrayList<>())
                .add(new Begin(task, atMs));
    }

    /** Records a reply to a caller or operator. */
    void answered(String party, long atMs, NodeReply reply) {
        answers.computeIfAbsent(party, key -> new ArrayList<>()).add(new Answer(atMs, reply));
    }

    /** Records that a document version came into force on a node. */
    void inForce(String node, int version, long atMs) {
        versions.computeIfAbsent(node, key -> new ArrayList<>()).add(new Version(version, atMs));
    }

    /** Records that a node finished draining, with its number of open requests. */
    void drained(String node, int openRequests) {
        drained.put(node, openRequests);
    }

    /** Returns how often each part of a job began, by index of the part. */
    Map<Integer, Integer> runsByPart(String job) {
        Map<Integer, Integer> runs = new TreeMap<>();
        begins(job).forEach(begin -> runs.merge(begin.task().part(), 1, Integer::sum));
        return runs;
    }

    /** Returns the time in ms at which the last part of a job's first attempt began; empty if none did. */
    OptionalLong firstStartMs(String job) {
        OptionalInt first = begins(job).stream()
                .mapToInt(begin -> begin.task().attempt().number())
                .min();
        return begins(job).stream()
                .filter(begin -> begin.task().attempt().number() == first.orElse(0))
                .mapToLong(Begin::atMs)
                .max();
    }

    /** Returns the replies to a party in order of arrival. */
    List<Answer> answers(String party) {
        return answers.getOrDefault(party, List.of());
    }

    /** Returns the document versions of a node in the order in which they came into force. */
    List<Version> versions(String node) {
        return versions.getOrDefault(node, List.of());
    }

    /** Returns the number of open requests when a node finished draining; empty if it did not. */
    OptionalInt openAtDrain(String node) {
        return drained.containsKey(node) ? OptionalInt.of(drained.get(node)) : OptionalInt.empty();
    }

    private List<Begin> begins(String job) {
        return begins.getOrDefault(job, List.of());
    }

    /** Reply and the virtual time in ms of its arrival. */
    record Answer(long atMs, NodeReply reply) {}

    /** Document version and the virtual time in ms at which it came into force. */
    record Version(int version, long atMs) {}

    private record Begin(TaskId task, long atMs) {}
}
