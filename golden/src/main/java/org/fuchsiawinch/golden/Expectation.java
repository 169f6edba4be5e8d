package org.fuchsiawinch.golden;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.JobOutcome;

/**
 * Result that the product's promises require of a session. It is checked against what workers, callers and operators
 * observed, independently of the transcript.
 *
 * @param text the expected result as key=value pairs
 * @param difference returns what was observed instead; empty if the expectation is met
 */
record Expectation(String text, Function<Observations, Optional<String>> difference) {

    /** Expects that each part of the job began exactly {@code times} times. */
    static Expectation runs(String job, int parts, int times) {
        Map<Integer, Integer> expected =
                IntStream.range(0, parts).boxed().collect(Collectors.toMap(part -> part, part -> times));
        return new Expectation(
                "job=" + job + " parts=" + parts + " runs-of-each-part=" + times,
                observations -> differenceUnless(
                        observations.runsByPart(job).equals(expected), "runs by part " + observations.runsByPart(job)));
    }

    /** Expects that each part of the job began at least once and at most {@code times} times. */
    static Expectation runsAtMost(String job, int parts, int times) {
        return new Expectation("job=" + job + " parts=" + parts + " most-runs-of-each-part=" + times, observations -> {
            Map<Integer, Integer> runs = observations.runsByPart(job);
            boolean met = runs.size() == parts && runs.values().stream().allMatch(count -> count <= times);
            return differenceUnless(met, "runs by part " + runs);
        });
    }

    /** Expects that at least one of the jobs was preempted and restarted, so that each of its parts began twice. */
    static Expectation someRestarted(List<String> jobs, int parts) {
        Map<Integer, Integer> twice =
                IntStream.range(0, parts).boxed().collect(Collectors.toMap(part -> part, part -> 2));
        return new Expectation(
                "jobs=" + String.join(",", jobs) + " some-ran-again=true",
                observations -> differenceUnless(
                        jobs.stream()
                                .anyMatch(job -> observations.runsByPart(job).equals(twice)),
                        "no job ran twice"));
    }

    /** Expects that no part of the job began. */
    static Expectation neverRan(String job) {
        return new Expectation(
                "job=" + job + " runs=0",
                observations -> differenceUnless(
                        observations.runsByPart(job).isEmpty(), "runs by part " + observations.runsByPart(job)));
    }

    /** Expects that the caller's last reply holds the whole answer: the answers of all parts in order. */
    static Expectation wholeAnswer(String caller, String job, String partAnswer, int parts) {
        byte[] whole = IntStream.range(0, parts)
                .mapToObj(part -> partAnswer + " part " + part + "\n")
                .collect(Collectors.joining())
                .getBytes(StandardCharsets.UTF_8);
        return new Expectation(
                "caller=" + caller + " job=" + job + " whole-answer=" + MessageFormatter.bytes(whole), observations -> {
                    Optional<NodeReply> last = lastReply(observations, caller);
                    boolean met = last.flatMap(Expectation::answerBytes)
                            .filter(answer -> Arrays.equals(answer, whole))
                            .isPresent();
                    return differenceUnless(met, "last answer " + describe(last));
                });
    }

    /** Expects that the party's only reply is a refusal with this code and retry delay in ms. */
    static Expectation refused(String party, NodeReply.RefusalCode code, OptionalLong retryAfterMs) {
        NodeReply expected = new NodeReply.Refused(code, retryAfterMs);
        return new Expectation(
                "party=" + party + " only-answer=refused " + MessageFormatter.reply(expected), observations -> {
                    List<Observations.ReceivedReply> replies = observations.replies(party);
                    boolean met = replies.size() == 1 && replies.get(0).reply().equals(expected);
                    return differenceUnless(
                            met, replies.size() + " answers, last " + describe(lastReply(observations, party)));
                });
    }

    /** Expects that the caller's last reply has the outcome that the job did not run. */
    static Expectation notRun(String caller, String job) {
        return new Expectation("caller=" + caller + " job=" + job + " outcome=not-run", observations -> {
            Optional<NodeReply> last = lastReply(observations, caller);
            boolean met = last.flatMap(Expectation::outcome)
                    .filter(JobOutcome.NotRun.class::isInstance)
                    .isPresent();
            return differenceUnless(met, "last answer " + describe(last));
        });
    }

    /** Expects that all parts of the job's first attempt began within a bound in ms after its submission. */
    static Expectation startedWithin(String job, long submittedMs, long boundMs) {
        return new Expectation(
                "job=" + job + " submitted=" + submittedMs + " started-within-ms=" + boundMs, observations -> {
                    OptionalLong start = observations.firstAttemptStartMs(job);
                    boolean met = start.isPresent() && start.getAsLong() <= submittedMs + boundMs;
                    return differenceUnless(met, "started at " + start);
                });
    }

    /** Expects that the operator's last reply accepts the change as this document version. */
    static Expectation accepted(String operator, int version) {
        return lastReplyEquals(operator, new NodeReply.DocumentJudged(version, Optional.empty()));
    }

    /** Expects that the operator's last reply is a refusal with this code while this version is in force. */
    static Expectation rejected(String operator, int version, DocumentFold.Refusal.Code code) {
        return new Expectation("operator=" + operator + " version=" + version + " refusal=" + code, observations -> {
            Optional<NodeReply> last = lastReply(observations, operator);
            return differenceUnless(
                    last.filter(reply -> isRefusal(reply, version, code)).isPresent(), "last answer " + describe(last));
        });
    }

    /** Expects that the operator's first reply is a refusal with this code while this version is in force. */
    static Expectation firstReplyRejected(String operator, int version, DocumentFold.Refusal.Code code) {
        return new Expectation(
                "operator=" + operator + " first-answer version=" + version + " refusal=" + code, observations -> {
                    Optional<NodeReply> first = observations.replies(operator).stream()
                            .map(Observations.ReceivedReply::reply)
                            .findFirst();
                    return differenceUnless(
                            first.filter(reply -> isRefusal(reply, version, code))
                                    .isPresent(),
                            describe(first));
                });
    }

    /** Expects that the party's only reply has no outcome: the job is neither completed nor reported as not run. */
    static Expectation undecided(String party) {
        return new Expectation("party=" + party + " only-answer=undecided", observations -> {
            List<Observations.ReceivedReply> replies = observations.replies(party);
            boolean met = replies.size() == 1
                    && lastReply(observations, party)
                            .filter(Expectation::hasNoOutcome)
                            .isPresent();
            return differenceUnless(met, replies.size() + " answers, last " + describe(lastReply(observations, party)));
        });
    }

    /**
     * Expects that exactly the versions from 1 to {@code lastVersion} came into force on a node, in this order and the
     * last one by a virtual time in ms.
     */
    static Expectation documents(String node, int lastVersion, long byMs) {
        List<Integer> expected = IntStream.rangeClosed(1, lastVersion).boxed().toList();
        return new Expectation("node=" + node + " documents=" + expected + " by=" + byMs, observations -> {
            List<Observations.Version> versions = observations.versions(node);
            boolean inOrder = versions.stream()
                    .map(Observations.Version::version)
                    .toList()
                    .equals(expected);
            boolean met = inOrder && versions.get(versions.size() - 1).atMs() <= byMs;
            return differenceUnless(met, versions.toString());
        });
    }

    /** Expects that the node finished draining without open requests. */
    static Expectation drained(String node) {
        return new Expectation(
                "node=" + node + " drained=true open-requests=0",
                observations -> differenceUnless(
                        observations.openRequestsAtDrain(node).equals(OptionalInt.of(0)),
                        "open at the end " + observations.openRequestsAtDrain(node)));
    }

    private static boolean hasNoOutcome(NodeReply reply) {
        return reply instanceof NodeReply.Pending
                || (reply instanceof NodeReply.Job && outcome(reply).isEmpty());
    }

    private static boolean isRefusal(NodeReply reply, int version, DocumentFold.Refusal.Code code) {
        return reply instanceof NodeReply.DocumentJudged judged
                && judged.version() == version
                && judged.refusal().filter(found -> found.code() == code).isPresent();
    }

    private static Expectation lastReplyEquals(String operator, NodeReply expected) {
        return new Expectation("operator=" + operator + " " + MessageFormatter.reply(expected), observations -> {
            Optional<NodeReply> last = lastReply(observations, operator);
            return differenceUnless(last.filter(expected::equals).isPresent(), "last answer " + describe(last));
        });
    }

    private static Optional<NodeReply> lastReply(Observations observations, String party) {
        List<Observations.ReceivedReply> replies = observations.replies(party);
        return replies.isEmpty()
                ? Optional.empty()
                : Optional.of(replies.get(replies.size() - 1).reply());
    }

    private static Optional<JobOutcome> outcome(NodeReply reply) {
        return reply instanceof NodeReply.Job job ? job.job().outcome() : Optional.empty();
    }

    private static Optional<byte[]> answerBytes(NodeReply reply) {
        return outcome(reply).filter(JobOutcome.Completed.class::isInstance).map(found -> ((JobOutcome.Completed) found)
                .answer());
    }

    private static String describe(Optional<NodeReply> reply) {
        return reply.map(found -> MessageFormatter.kind(found) + " " + MessageFormatter.reply(found))
                .orElse("none");
    }

    private static Optional<String> differenceUnless(boolean met, String observed) {
        return met ? Optional.empty() : Optional.of(observed);
    }
}
