package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.ctl.plan.PlanColumn;
import org.fuchsiawinch.ctl.plan.PlanTable;
import org.fuchsiawinch.ctl.plan.Planner;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentDiff;
import org.fuchsiawinch.document.SectionDiff;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceReadResult;
import org.fuchsiawinch.replay.trace.TraceReader;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;

/** Replays a recorded trace under the document in force and a proposed one, and prints the results. Stateless. */
final class PlanCommand {

    private static final Setting<String> TRACE = Setting.text("trace", "trace to replay, see docs/TRACES.md");
    private static final Setting<String> BASE = Setting.optionalText(
            "base", "file to compare with instead of the document in force; then no node is needed");
    private static final Setting<Long> SEED = Setting.number("seed", "seed of the replay's delays", 0, Long.MAX_VALUE)
            .withDefault("1");
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    private PlanCommand() {}

    static Command command() {
        return new Command(
                "document plan",
                List.of("FILE"),
                "Replays a trace under the document in force and under FILE and compares the results. Changes nothing.",
                Command.settings(CommonSettings.ONLINE, TRACE, BASE, SEED),
                List.of(
                        "fuchsiawinch-ctl document plan edited.yaml --trace yesterday.jsonl",
                        "fuchsiawinch-ctl document plan edited.yaml --base base.yaml --trace yesterday.jsonl"),
                PlanCommand::run);
    }

    private static int run(Invocation invocation) {
        Optional<Document> proposed =
                InputFiles.readDocument(invocation.arguments().get(0), invocation);
        Optional<Trace> trace = readTrace(invocation);
        String baseFile = invocation.settings().value(BASE);
        Optional<Document> accepted =
                baseFile.isEmpty() ? Optional.empty() : InputFiles.readDocument(baseFile, invocation);
        if (proposed.isEmpty() || trace.isEmpty() || (!baseFile.isEmpty() && accepted.isEmpty())) {
            return Program.EXIT_USAGE;
        }
        if (baseFile.isEmpty()) {
            ApiReply reply = invocation.api().read(DocumentResource.PATH);
            if (!reply.ok()) {
                return ReplyPrinter.printRefusal(reply, invocation);
            }
            accepted = DocumentResource.parse(reply, invocation);
        }
        if (accepted.isEmpty()) {
            return Program.EXIT_FAILED;
        }
        return replayAndPrint(accepted.get(), proposed.get(), trace.get(), invocation);
    }

    private static int replayAndPrint(Document accepted, Document proposed, Trace trace, Invocation invocation) {
        List<SectionDiff> diffs = DocumentDiff.between(accepted, proposed);
        long seed = invocation.settings().value(SEED);
        List<PlanColumn> columns = new Planner(trace, seed).run(Planner.variants(accepted, proposed));
        if (invocation.format() == OutputFormat.JSON) {
            invocation
                    .console()
                    .out()
                    .println(toJson(trace, seed, diffs, columns).toPrettyString());
            return Program.EXIT_OK;
        }
        DocumentCommands.printDiffs(diffs, invocation);
        invocation.console().out().println("\ntrace " + trace.name() + ", seed " + seed);
        invocation.console().out().print(PlanTable.render(accepted.currency(), columns));
        return Program.EXIT_OK;
    }

    private static ObjectNode toJson(Trace trace, long seed, List<SectionDiff> diffs, List<PlanColumn> columns) {
        ObjectNode report = MAPPER.createObjectNode().put("trace", trace.name()).put("seed", seed);
        ArrayNode sections = report.putArray("sections");
        diffs.forEach(diff -> sections.add(DocumentCommands.toJson(diff)));
        ArrayNode variants = report.putArray("variants");
        for (PlanColumn column : columns) {
            ObjectNode measures = MAPPER.valueToTree(column.measures());
            measures.remove("fragmentationOverTime");
            variants.addObject().put("name", column.name()).set("measures", measures);
        }
        return report;
    }

    private static Optional<Trace> readTrace(Invocation invocation) {
        String file = invocation.settings().value(TRACE);
        TraceReadResult result = new TraceReader().read(file, InputFiles.readText(file));
        if (result instanceof TraceReadResult.Accepted accepted) {
            return Optional.of(accepted.trace());
        }
        ((TraceReadResult.Rejected) result).problems().forEach(problem -> invocation
                .console()
                .err()
                .println(problem.file() + ":" + problem.line() + ": " + problem.field() + ": " + problem.fault()));
        return Optional.empty();
    }
}
