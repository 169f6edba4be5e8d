package org.fuchsiawinch.node.http;

import java.util.OptionalLong;

import org.fuchsiawinch.protocol.node.NodeReply;

/**
 * Response to an HTTP request.
 *
 * @param status HTTP status
 * @param body one of {@link Views}, encoded as JSON
 */
record ApiResponse(int status, Object body) {

    static ApiResponse ok(Object body) {
        return new ApiResponse(200, body);
    }

    static ApiResponse error(int status, String code, String message) {
        return new ApiResponse(status, new Views.ErrorView(code, message, OptionalLong.empty()));
    }

    /** Converts a reply of the state machine to a response. */
    static ApiResponse of(NodeReply reply) {
        if (reply instanceof NodeReply.Job job) {
            Views.JobView view = Views.JobView.of(job.job());
            return new ApiResponse(view.outcome().isPresent() ? 200 : 202, view);
        }
        if (reply instanceof NodeReply.UnknownJob) {
            return error(404, "UNKNOWN_JOB", "no such job in this workspace");
        }
        if (reply instanceof NodeReply.Refused refused) {
            return new ApiResponse(
                    statusOf(refused.code()),
                    new Views.ErrorView(refused.code().name(), "the work did not run", refused.retryAfterMs()));
        }
        return new ApiResponse(
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
