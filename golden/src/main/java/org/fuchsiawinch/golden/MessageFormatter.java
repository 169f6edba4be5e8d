package org.fuchsiawinch.golden;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.Sha256;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;

/**
 * Formats messages as {@code key=value} pairs in a fixed order. Replies and records without details give an empty
 * string. Stateless.
 */
final class MessageFormatter {

    private static final int DIGEST_CHARACTERS = 12;

    private MessageFormatter() {}

    /** Returns the kind of a message: the simple name of its class in lower case with dashes. */
    static String kind(Object message) {
        return message.getClass()
                .getSimpleName()
                .replaceAll("(?<=[a-z])(?=[A-Z])", "-")
                .toLowerCase(Locale.ROOT);
    }

    /** Formats a submitted job; its deadline is in ms since the session's start. */
    static String job(JobSpec job) {
        return "job=" + job.id() + " workspace=" + job.workspace() + " work=" + job.kind() + " gang="
                + job.shape().parts() + "x" + job.shape().perPart().accelerators() + " adjacency="
                + job.shape().adjacency() + " declared-ms=" + job.declaredRunMs() + " idempotent=" + job.idempotent()
                + " checkpointable=" + job.checkpointable() + " urgency=" + job.urgency() + " deadline="
                + relativeOrNone(job.deadlineMs(), SessionRunner.SESSION_START_MS);
    }

    /** Returns the length in bytes and the first 12 digits of the SHA-256 digest, separated by a colon. */
    static String bytes(byte[] value) {
        return value.length + ":" + Sha256.hex(value).substring(0, DIGEST_CHARACTERS);
    }

    /** Returns the same as {@link #bytes} for the UTF-8 encoding of a text. */
    static String text(String value) {
        return bytes(value.getBytes(StandardCharsets.UTF_8));
    }

    /** Formats the details of a reply to a caller or operator. */
    static String reply(NodeReply reply) {
        if (reply instanceof NodeReply.Job job) {
            return state(job.job());
        }
        if (reply instanceof NodeReply.Refused refused) {
            return "code=" + refused.code() + " retry-after-ms=" + relativeOrNone(refused.retryAfterMs(), 0);
        }
        if (reply instanceof NodeReply.DocumentJudged judged) {
            String refusal = judged.refusal()
                    .map(found -> found.code() + " detail=\"" + found.detail() + "\"")
                    .orElse("none");
            return "version=" + judged.version() + " refusal=" + refusal;
        }
        return "";
    }

    /** Formats the details of a log record. */
    static String record(LogRecord record) {
        if (record instanceof LogRecord.DocumentFounded founded) {
            return "text=" + text(founded.text());
        }
        if (record instanceof LogRecord.DocumentProposed proposed) {
            return "team=" + proposed.team() + " section=" + proposed.section() + " base=" + proposed.baseVersion()
                    + " text=" + text(proposed.text()) + " signature=" + text(proposed.signature());
        }
        if (record instanceof LogRecord.CellClaimed claimed) {
            return "cell=" + claimed.cell() + " epoch=" + claimed.epoch();
        }
        if (record instanceof LogRecord.CellReleased released) {
            return "cell=" + released.cell() + " epoch=" + released.epoch();
        }
        if (record instanceof LogRecord.JobAccepted accepted) {
            return "job=" + accepted.job().id() + " payload=" + bytes(accepted.payload());
        }
        if (record instanceof LogRecord.JobCancelled cancelled) {
            return "job=" + cancelled.job();
        }
        if (record instanceof LogRecord.AttemptPlaced placed) {
            return "attempt=" + placed.attempt() + " epoch=" + placed.epoch() + " lent=" + placed.lent();
        }
        if (record instanceof LogRecord.AttemptReleased released) {
            return "attempt=" + released.attempt() + " epoch=" + released.epoch();
        }
        if (record instanceof LogRecord.AttemptEnded ended) {
            return "attempt=" + ended.attempt() + " epoch=" + ended.epoch() + " end=" + ended.end();
        }
        if (record instanceof LogRecord.JobFinished finished) {
            return "job=" + finished.job() + " epoch=" + finished.epoch() + " " + outcome(finished.outcome());
        }
        return "";
    }

    /** Formats an event that a node reports; one without a format of its own is printed with {@code toString}. */
    static String event(NodeEvent event) {
        if (event instanceof NodeEvent.Decided decided) {
            return decision(decided.decision());
        }
        if (event instanceof NodeEvent.CellTaken taken) {
            return "cell=" + taken.cell() + " epoch=" + taken.epoch();
        }
        if (event instanceof NodeEvent.CellLost lost) {
            return "cell=" + lost.cell() + " epoch=" + lost.epoch();
        }
        if (event instanceof NodeEvent.CellActive active) {
            return "cell=" + active.cell() + " epoch=" + active.epoch() + " workers=" + active.workers() + " in-doubt="
                    + active.inDoubt();
        }
        if (event instanceof NodeEvent.OwnRecordVoid voided) {
            return "record=" + voided.id().writer() + "/" + voided.id().sequence() + " code=" + voided.code();
        }
        if (event instanceof NodeEvent.DocumentInForce document) {
            return "version=" + document.version();
        }
        if (event instanceof NodeEvent.WorkerSilent silent) {
            return "worker=" + silent.worker();
        }
        return "detail=\"" + event + "\"";
    }

    /** Formats the outcome of a job. */
    static String outcome(JobOutcome outcome) {
        if (outcome instanceof JobOutcome.Completed completed) {
            return "outcome=completed answer=" + bytes(completed.answer());
        }
        if (outcome instanceof JobOutcome.NotRun notRun) {
            return "outcome=not-run code=" + notRun.code() + " retry-after-ms="
                    + relativeOrNone(notRun.retryAfterMs(), 0);
        }
        return "outcome=broken code=" + ((JobOutcome.Broken) outcome).code();
    }

    private static String state(JobEntry job) {
        String state = "job=" + job.spec().id() + " status=" + job.status();
        return job.outcome().map(outcome -> state + " " + outcome(outcome)).orElse(state);
    }

    private static String decision(Decision decision) {
        String details = "decision=" + kind(decision);
        if (decision instanceof Decision.StartGang start) {
            details +=
                    " attempt=" + start.attempt() + " lent=" + start.lent() + " workers=" + workers(start.placements());
        } else if (decision instanceof Decision.StopGang stop) {
            details += " attempt=" + stop.attempt() + " mode=" + stop.mode();
        } else if (decision instanceof Decision.PromoteGang promote) {
            details += " attempt=" + promote.attempt();
        } else if (decision instanceof Decision.EndJob end) {
            details += " job=" + end.job() + " ran=" + end.ran();
        } else if (decision instanceof Decision.GuaranteeLost lost) {
            details += " workspace=" + lost.workspace();
        }
        Reason reason = decision.reason();
        return details + " reason=" + reason.code() + " price-micros=" + reason.priceMicros();
    }

    private static String workers(List<Placement> placements) {
        return placements.stream()
                .collect(Collectors.groupingBy(
                        placement -> placement.worker().value(), TreeMap::new, Collectors.counting()))
                .entrySet()
                .stream()
                .map(MessageFormatter::workerCount)
                .collect(Collectors.joining(","));
    }

    private static String workerCount(Map.Entry<String, Long> worker) {
        return worker.getKey() + "*" + worker.getValue();
    }

    /** Returns a time relative to an origin, both in ms, or {@code none}; the origin of a delay is 0. */
    private static String relativeOrNone(OptionalLong value, long origin) {
        return value.isPresent() ? String.valueOf(value.getAsLong() - origin) : "none";
    }
}
