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
 * What workers, callers and operators saw in a session, for its expectations. Holds nothing of the transcript. Not
 * thread-safe.
 */
final class Observed {

    private final Map<String, List<Begin>> begins = new TreeMap<>();
    private final Map<String, List<Answer>> answers = new TreeMap<>();
    private final Map<String, List<Version>> versions = new TreeMap<>();
    private final Map<String, Integer> drained = new TreeMap<>();

    /** Notes that a worker began to run a part. */
    void began(TaskId task, long atMs) {
        begins.computeIfAbsent(task.attempt().job().value(), job -> new ArrayList<>())
                .add(new Begin(task, atMs));
    }

    /** Notes an answer to a caller or operator. */
    void answered(String party, long atMs, NodeReply reply) {
        answers.computeIfAbsent(party, key -> new ArrayList<>()).add(new Answer(atMs, reply));
    }

    /** Notes that a document version came into force on a node. */
    void inForce(String node, int version, long atMs) {
        versions.computeIfAbsent(node, key -> new ArrayList<>()).add(new Version(version, atMs));
    }

    /** Notes that a node ended its planned stop. */
    void drained(String node, int openRequests) {
        drained.put(node, openRequests);
    }

    /** Counts how often each part of a job began, by part. */
    Map<Integer, Integer> runsByPart(String job) {
        Map<Integer, Integer> runs = new TreeMap<>();
        begins(job).forEach(begin -> runs.merge(begin.task().part(), 1, Integer::sum));
        return runs;
    }

    /** Gives the time in ms at which the last part of a job's first attempt began. */
    OptionalLong firstStartMs(String job) {
        OptionalInt first = begins(job).stream()
                .mapToInt(begin -> begin.task().attempt().number())
                .min();
        return begins(job).stream()
                .filter(begin -> begin.task().attempt().number() == first.orElse(0))
                .mapToLong(Begin::atMs)
                .max();
    }

    /** Gives a party's answers in order. */
    List<Answer> answers(String party) {
        return answers.getOrDefault(party, List.of());
    }

    /** Gives the document versions of a node in order. */
    List<Version> versions(String node) {
        return versions.getOrDefault(node, List.of());
    }

    /** Gives the number of open requests at the end of a node's planned stop; empty if it has not ended. */
    OptionalInt openAtDrain(String node) {
        return drained.containsKey(node) ? OptionalInt.of(drained.get(node)) : OptionalInt.empty();
    }

    private List<Begin> begins(String job) {
        return begins.getOrDefault(job, List.of());
    }

    /** An answer and when it arrived, in ms. */
    record Answer(long atMs, NodeReply reply) {}

    /** A document version and when it came into force, in ms. */
    record Version(int version, long atMs) {}

    private record Begin(TaskId task, long atMs) {}
}
