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
record Expectation(String text, Function<Observed, Optional<String>> difference) {

    /** Expects that each part of the job began exactly {@code times} times. */
    static Expectation runs(String job, int parts, int times) {
        Map<Integer, Integer> wanted =
                IntStream.range(0, parts).boxed().collect(Collectors.toMap(part -> part, part -> times));
        return new Expectation(
                "job=" + job + " parts=" + parts + " runs-of-each-part=" + times,
                seen -> unless(seen.runsByPart(job).equals(wanted), "runs by part " + seen.runsByPart(job)));
    }

    /** Expects that each part of the job began at least once and at most {@code times} times. */
    static Expectation runsAtMost(String job, int parts, int times) {
        return new Expectation("job=" + job + " parts=" + parts + " most-runs-of-each-part=" + times, seen -> {
            Map<Integer, Integer> runs = seen.runsByPart(job);
            boolean met = runs.size() == parts && runs.values().stream().allMatch(count -> count <= times);
            return unless(met, "runs by part " + runs);
        });
    }

    /** Expects that at least one of the jobs was preempted and restarted, so that each of its parts began twice. */
    static Expectation someRanAgain(List<String> jobs, int parts) {
        Map<Integer, Integer> twice =
                IntStream.range(0, parts).boxed().collect(Collectors.toMap(part -> part, part -> 2));
        return new Expectation(
                "jobs=" + String.join(",", jobs) + " some-ran-again=true",
                seen -> unless(
                        jobs.stream().anyMatch(job -> seen.runsByPart(job).equals(twice)), "no job ran twice"));
    }

    /** Expects that no part of the job began. */
    static Expectation neverRan(String job) {
        return new Expectation(
                "job=" + job + " runs=0",
                seen -> unless(seen.runsByPart(job).isEmpty(), "runs by part " + seen.runsByPart(job)));
    }

    /** Expects that the caller's last reply holds the whole answer: the answers of all parts in order. */
    static Expectation wholeAnswer(String caller, String job, String partAnswer, int parts) {
        byte[] whole = IntStream.range(0, parts)
                .mapToObj(part -> partAnswer + " part " + part + "\n")
                .collect(Collectors.joining())
                .getBytes(StandardCharsets.UTF_8);
        return new Expectation("caller=" + caller + " job=" + job + " whole-answer=" + Wording.bytes(whole), seen -> {
            Optional<NodeReply> last = last(seen, caller);
            boolean met = last.flatMap(Expectation::answerBytes)
                    .filter(answer -> Arrays.equals(answer, whole))
                    .isPresent();
            return unless(met, "last answer " + words(last));
        });
    }

    /** Expects that the party's only reply is a refusal with this code and retry delay in ms. */
    static Expectation refused(String party, NodeReply.RefusalCode code, OptionalLong retryAfterMs) {
        NodeReply wanted = new NodeReply.Refused(code, retryAfterMs);
        return new Expectation("party=" + party + " only-answer=refused " + Wording.reply(wanted), seen -> {
            List<Observed.Answer> answers = seen.answers(party);
            boolean met = answers.size() == 1 && answers.get(0).reply().equals(wanted);
            return unless(met, answers.size() + " answers, last " + words(last(seen, party)));
        });
    }

    /** Expects that the caller's last reply has the outcome that the job did not run. */
    static Expectation notRun(String caller, String job) {
        return new Expectation("caller=" + caller + " job=" + job + " outcome=not-run", seen -> {
            Optional<NodeReply> last = last(seen, caller);
            boolean met = last.flatMap(Expectation::outcome)
                    .filter(JobOutcome.NotRun.class::isInstance)
                    .isPresent();
            return unless(met, "last answer " + words(last));
        });
    }

    /** Expects that all parts of the job's first attempt began within a bound in ms after its submission. */
    static Expectation startedWithin(String job, long submittedMs, long boundMs) {
        return new Expectation("job=" + job + " submitted=" + submittedMs + " started-within-ms=" + boundMs, seen -> {
            OptionalLong start = seen.firstStartMs(job);
            boolean met = start.isPresent() && start.getAsLong() <= submittedMs + boundMs;
            return unless(met, "started at " + start);
        });
    }

    /** Expects that the operator's last reply accepts the change as this document version. */
    static Expectation accepted(String operator, int version) {
        return judged(operator, new NodeReply.DocumentJudged(version, Optional.empty()));
    }

    /** Expects that the operator's last reply is a refusal with this code while this version is in force. */
    static Expectation rejected(String operator, int version, DocumentFold.Refusal.Code code) {
        return new Expectation("operator=" + operator + " version=" + version + " refusal=" + code, seen -> {
            Optional<NodeReply> last = last(seen, operator);
            return unless(
                    last.filter(reply -> refuses(reply, version, code)).isPresent(), "last answer " + words(last));
        });
    }

    /** Expects that the operator's first reply is a refusal with this code while this version is in force. */
    static Expectation firstAnswerRejected(String operator, int version, DocumentFold.Refusal.Code code) {
        return new Expectation(
                "operator=" + operator + " first-answer version=" + version + " refusal=" + code, seen -> {
                    Optional<NodeReply> first = seen.answers(operator).stream()
                            .map(Observed.Answer::reply)
                            .findFirst();
                    return unless(
                            first.filter(reply -> refuses(reply, version, code)).isPresent(), words(first));
                });
    }

    /** Expects that the party's only reply has no outcome: the job is neither completed nor reported as not run. */
    static Expectation undecided(String party) {
        return new Expectation("party=" + party + " only-answer=undecided", seen -> {
            List<Observed.Answer> answers = seen.answers(party);
            boolean met = answers.size() == 1
                    && last(seen, party).filter(Expectation::undecided).isPresent();
            return unless(met, answers.size() + " answers, last " + words(last(seen, party)));
        });
    }

    /** Expects that exactly the versions from 1 to the last came into force on a node, in order and by a time in ms. */
    static Expectation documents(String node, int lastVersion, long byMs) {
        List<Integer> wanted = IntStream.rangeClosed(1, lastVersion).boxed().toList();
        return new Expectation("node=" + node + " documents=" + wanted + " by=" + byMs, seen -> {
            List<Observed.Version> versions = seen.versions(node);
            boolean order =
                    versions.stream().map(Observed.Version::version).toList().equals(wanted);
            boolean met = order && versions.get(versions.size() - 1).atMs() <= byMs;
            return unless(met, versions.toString());
        });
    }

    /** Expects that the node finished draining without open requests. */
    static Expectation drained(String node) {
        return new Expectation(
                "node=" + node + " drained=true open-requests=0",
                seen -> unless(
                        seen.openAtDrain(node).equals(OptionalInt.of(0)), "open at the end " + seen.openAtDrain(node)));
    }

    private static boolean undecided(NodeReply reply) {
        return reply instanceof NodeReply.Pending
                || (reply instanceof NodeReply.Job && outcome(reply).isEmpty());
    }

    private static boolean refuses(NodeReply reply, int version, DocumentFold.Refusal.Code code) {
        return reply instanceof NodeReply.DocumentJudged judged
                && judged.version() == version
                && judged.refusal().filter(found -> found.code() == code).isPresent();
    }

    private static Expectation judged(String operator, NodeReply wanted) {
        return new Expectation("operator=" + operator + " " + Wording.reply(wanted), seen -> {
            Optional<NodeReply> last = last(seen, operator);
            return unless(last.filter(wanted::equals).isPresent(), "last answer " + words(last));
        });
    }

    private static Optional<NodeReply> last(Observed seen, String party) {
        List<Observed.Answer> answers = seen.answers(party);
        return answers.isEmpty()
                ? Optional.empty()
                : Optional.of(answers.get(answers.size() - 1).reply());
    }

    private static Optional<JobOutcome> outcome(NodeReply reply) {
        return reply instanceof NodeReply.Job job ? job.job().outcome() : Optional.empty();
    }

    private static Optional<byte[]> answerBytes(NodeReply reply) {
        return outcome(reply).filter(JobOutcome.Completed.class::isInstance).map(found -> ((JobOutcome.Completed) found)
                .answer());
    }

    private static String words(Optional<NodeReply> reply) {
        return reply.map(found -> Wording.kind(found) + " " + Wording.reply(found))
                .orElse("none");
    }

    private static Optional<String> unless(boolean met, String seen) {
        return met ? Optional.empty() : Optional.of(seen);
    }
}
