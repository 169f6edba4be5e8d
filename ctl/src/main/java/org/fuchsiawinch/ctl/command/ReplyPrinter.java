package org.fuchsiawinch.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.output.JsonFormatter;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.runtime.Program;

/** Prints replies of a node. Stateless. */
final class ReplyPrinter {

    private ReplyPrinter() {}

    /**
     * Prints a reply, as a refusal if its status is not 2xx.
     *
     * @param reply the reply
     * @param invocation the invocation, with output format and console
     * @return {@link Program#EXIT_OK}, or {@link Program#EXIT_FAILED} for a refusal
     */
    static int print(ApiReply reply, Invocation invocation) {
        if (!reply.ok()) {
            return printRefusal(reply, invocation);
        }
        invocation.console().out().print(JsonFormatter.render(reply.body(), invocation.format()));
        return Program.EXIT_OK;
    }

    /**
     * Prints a refusal: as JSON to standard output, or to standard error as one line and the problems that it lists.
     *
     * @param reply the reply
     * @param invocation the invocation, with output format and console
     * @return {@link Program#EXIT_FAILED}
     */
    static int printRefusal(ApiReply reply, Invocation invocation) {
        if (invocation.format() == OutputFormat.JSON) {
            invocation.console().out().println(reply.body().toPrettyString());
            return Program.EXIT_FAILED;
        }
        JsonNode body = reply.body();
        StringBuilder line = new StringBuilder("status=").append(reply.status());
        for (String key : new String[] {"error", "outcome", "message", "retryAfterMs"}) {
            if (body.hasNonNull(key)) {
                String value = body.get(key).asText().replaceAll("\\p{Cntrl}", "?");
                line.append(' ').append(key).append('=').append(value.contains(" ") ? '"' + value + '"' : value);
            }
        }
        invocation.console().err().println(line);
        if (body.path("problems").isArray()) {
            body.path("problems")
                    .forEach(problem ->
                            invocation.console().err().print(JsonFormatter.render(problem, OutputFormat.TABLE)));
        }
        return Program.EXIT_FAILED;
    }
}
