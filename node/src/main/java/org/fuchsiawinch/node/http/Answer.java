package org.fuchsiawinch.node.http;

import java.util.OptionalLong;

import org.fuchsiawinch.protocol.node.NodeReply;

/**
 * Response to an HTTP request.
 *
 * @param status HTTP status
 * @param body one of {@link Views}, encoded as JSON
 */
record Answer(int status, Object body) {

    static Answer ok(Object body) {
        return new Answer(200, body);
    }

    static Answer error(int status, String code, String message) {
        return new Answer(status, new Views.ErrorView(code, message, OptionalLong.empty()));
    }

    /** Converts a reply of the state machine to a response. */
    static Answer of(NodeReply reply) {
        if (reply instanceof NodeReply.Job job) {
            Views.JobView view = Views.JobView.of(job.job());
            return new Answer(view.outcome().isPresent() ? 200 : 202, view);
        }
        if (reply instanceof NodeReply.UnknownJob) {
            return error(404, "UNKNOWN_JOB", "no such job in this workspace");
        }
        if (reply instanceof NodeReply.Refused refused) {
            return new Answer(
                    statusOf(refused.code()),
                    new Views.ErrorView(refused.code().name(), "the work did not run", refused.retryAfterMs()));
        }
        return new Answer(
                202, new Views.ErrorView("PENDING", "the outcome is unknown; ask again by key", OptionalLong.of(1000)));
    }

    private static int statusOf(NodeReply.RefusalCode code) {
        return switch (code) {
            case NO_DOCUMENT, LOG_UNAVAILABLE, NOT_READY, DRAINING -> 503;
            case OVERLOADED -> 429;
            case KEY_REUSED, FINISHED -> 409;
            case UNKNOWN_WORKSPACE -> 403;
            case DEADLINE -> 422;
        };
    }
}
