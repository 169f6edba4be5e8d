package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.output.JsonFormatter;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.ctl.output.TextTable;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentDiff;
import org.fuchsiawinch.document.FieldTable;
import org.fuchsiawinch.document.SectionDiff;
import org.fuchsiawinch.runtime.Program;

/** Commands that read, check and compare documents, and the one that puts the first document in force. Stateless. */
public final class DocumentCommands {

    private static final String ABSENT = "-";

    private DocumentCommands() {}

    /**
     * Returns the commands.
     *
     * @return the commands in the order of the help text
     */
    public static List<Command> all() {
        return List.of(
                new Command(
                        "document get",
                        List.of(),
                        "Prints the document in force; its version goes to standard error.",
                        CommonSettings.ONLINE,
                        List.of("fuchsiawinch-ctl document get > base.yaml"),
                        DocumentCommands::get),
                new Command(
                        "document found",
                        List.of("FILE"),
                        "Puts the first document in force; refused if there is one. Needs the nodes' founding token.",
                        CommonSettings.ONLINE,
                        List.of("FUCHSIAWINCH_TOKEN=... fuchsiawinch-ctl document found first.yaml"),
                        DocumentCommands::submitFirst),
                new Command(
                        "document check",
                        List.of("FILE"),
                        "Checks a file and prints all of its problems with line and field. Works offline.",
                        CommonSettings.OFFLINE,
                        List.of("fuchsiawinch-ctl document check samples/lagilagi/document.yaml"),
                        DocumentCommands::check),
                new Command(
                        "document diff",
                        List.of("FILE", "[OTHER]"),
                        "Compares the document in force with FILE, or FILE with OTHER offline, by section and field.",
                        CommonSettings.ONLINE,
                        List.of(
                                "fuchsiawinch-ctl document diff edited.yaml",
                                "fuchsiawinch-ctl document diff base.yaml edited.yaml"),
                        DocumentCommands::diff),
                new Command(
                        "document history",
                        List.of(),
                        "Shows the latest versions with team, section and digest.",
                        CommonSettings.ONLINE,
                        List.of("fuchsiawinch-ctl document history"),
                        invocation -> ReplyPrinter.print(
                                invocation.api().read(DocumentResource.PATH + "/history"), invocation)),
                new Command(
                        "document fields",
                        List.of(),
                        "Prints each field with type, unit, default and bounds as Markdown tables. Works offline.",
                        List.of(),
                        List.of("fuchsiawinch-ctl document fields"),
                        DocumentCommands::fields));
    }

    private static int get(Invocation invocation) {
        ApiReply reply = invocation.api().read(DocumentResource.PATH);
        if (!reply.ok() || invocation.format() == OutputFormat.JSON) {
            return ReplyPrinter.print(reply, invocation);
        }
        invocation.console().out().print(reply.body().path("text").asText());
        invocation
                .console()
                .err()
                .println("version=" + reply.body().path("version").asInt() + " digest="
                        + reply.body().path("digest").asText());
        return Program.EXIT_OK;
    }

    private static int submitFirst(Invocation invocation) {
        Optional<Document> document =
                InputFiles.readDocument(invocation.arguments().get(0), invocation);
        if (document.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        ApiReply reply =
                invocation.api().sendText(DocumentResource.PATH, document.get().text());
        return ReplyPrinter.print(reply, invocation);
    }

    private static int check(Invocation invocation) {
        String file = invocation.arguments().get(0);
        Optional<Document> document = InputFiles.readDocument(file, invocation);
        if (document.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("valid", true);
        report.put("file", file);
        report.put("digest", document.get().digest());
        report.put("workspaces", document.get().policy().workspaces().size());
        report.put("teams", document.get().teams().size());
        invocation.console().out().print(JsonFormatter.render(report, invocation.format()));
        return Program.EXIT_OK;
    }

    private static int diff(Invocation invocation) {
        boolean offline = invocation.arguments().size() > 1;
        Optional<Document> before =
                offline ? InputFiles.readDocument(invocation.arguments().get(0), invocation) : Optional.empty();
        Optional<Document> after = InputFiles.readDocument(
                invocation.arguments().get(invocation.arguments().size() - 1), invocation);
        if (after.isEmpty() || (offline && before.isEmpty())) {
            return Program.EXIT_USAGE;
        }
        if (!offline) {
            ApiReply reply = invocation.api().read(DocumentResource.PATH);
            if (!reply.ok()) {
                return ReplyPrinter.printRefusal(reply, invocation);
            }
            before = DocumentResource.parse(reply, invocation);
        }
        if (before.isEmpty()) {
            return Program.EXIT_FAILED;
        }
        printDiffs(DocumentDiff.between(before.get(), after.get()), invocation);
        return Program.EXIT_OK;
    }

    /**
     * Prints the differences between two documents.
     *
     * @param diffs the differences, one element for each changed section
     * @param invocation the invocation, with output format and console
     */
    static void printDiffs(List<SectionDiff> diffs, Invocation invocation) {
        if (invocation.format() == OutputFormat.JSON) {
            ArrayNode sections = JsonNodeFactory.instance.arrayNode();
            diffs.forEach(diff -> sections.add(toJson(diff)));
            invocation.console().out().println(sections.toPrettyString());
            return;
        }
        if (diffs.isEmpty()) {
            invocation.console().out().println("no difference");
        }
        for (SectionDiff diff : diffs) {
            String note = diff.changes().isEmpty() ? ": comments or layout only" : "";
            invocation.console().out().println(diff.section().key() + " (" + diff.owner() + ")" + note);
            List<List<String>> rows = diff.changes().stream()
                    .map(change -> List.of(
                            "  " + change.path(),
                            change.before().orElse(ABSENT),
                            "->",
                            change.after().orElse(ABSENT)))
                    .toList();
            invocation.console().out().print(TextTable.withoutHeader(rows));
        }
    }

    /**
     * Returns the differences of a section as JSON.
     *
     * @param diff the differences
     * @return object with section, owner and changed fields
     */
    static ObjectNode toJson(SectionDiff diff) {
        ObjectNode section = JsonNodeFactory.instance.objectNode();
        section.put("section", diff.section().key()).put("owner", diff.owner());
        ArrayNode changes = section.putArray("changes");
        diff.changes().forEach(change -> changes.addObject()
                .put("field", change.path())
                .put("before", change.before().orElse(null))
                .put("after", change.after().orElse(null)));
        return section;
    }

    private static int fields(Invocation invocation) {
        invocation.console().out().print(FieldTable.markdown());
        return Program.EXIT_OK;
    }
}
