package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.ctl.api.ApiReply;
import org.fuchsiawinch.ctl.output.JsonFormatter;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentDiff;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.SectionDiff;
import org.fuchsiawinch.document.ledger.LedgerRecord.Proposal;
import org.fuchsiawinch.document.ledger.SectionSigner;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;

/**
 * Signs one section of an edited file and proposes it to a node. If the section has changed since the base file was
 * fetched, prints the conflict; if only other sections have changed, signs the change again for the version in force.
 * Stateless.
 */
final class ProposeCommand {

    private static final Setting<String> BASE =
            Setting.text("base", "file before the edit, as printed by document get");
    private static final Setting<String> TEAM = Setting.text("team", "name of the team that signs");
    private static final Setting<String> KEY = Setting.text("key", "PEM file with the team's private key");
    private static final Setting<Section> SECTION = new Setting<>(
            "section",
            "section to propose; changes to other sections of the file are ignored",
            Optional.empty(),
            Section::ofKey,
            "a section's key");
    private static final Setting<Long> ATTEMPTS = Setting.number(
                    "attempts", "maximum number of attempts if other sections keep changing", 1, 100)
            .withDefault("5");
    private static final int STATUS_CONFLICT = 409;

    private ProposeCommand() {}

    static Command command() {
        return new Command(
                "document propose",
                List.of("FILE"),
                "Signs and proposes one section of an edited file; shows the conflict if it has changed since.",
                Command.settings(CommonSettings.ONLINE, SECTION, TEAM, KEY, BASE, ATTEMPTS),
                List.of("fuchsiawinch-ctl document propose edited.yaml --base base.yaml --section spending"
                        + " --team finance --key finance.pem"),
                ProposeCommand::run);
    }

    private static int run(Invocation invocation) {
        Optional<Document> edited =
                InputFiles.readDocument(invocation.arguments().get(0), invocation);
        Optional<Document> base = InputFiles.readDocument(invocation.settings().value(BASE), invocation);
        if (edited.isEmpty() || base.isEmpty()) {
            return Program.EXIT_USAGE;
        }
        String keyFile = invocation.settings().value(KEY);
        SectionSigner signer = SectionSigner.ofPem(keyFile, InputFiles.readText(keyFile));
        printOmittedSections(base.get(), edited.get(), invocation);
        long attempts = invocation.settings().value(ATTEMPTS);
        for (long attempt = 1; attempt < attempts; attempt++) {
            Optional<Integer> status = tryPropose(signer, base.get(), edited.get(), false, invocation);
            if (status.isPresent()) {
                return status.get();
            }
        }
        return tryPropose(signer, base.get(), edited.get(), true, invocation).orElse(Program.EXIT_FAILED);
    }

    /**
     * Proposes the section against the document in force. Returns the exit status, or empty if the node refused the
     * proposal because the document has changed since it was read and this is not the last attempt.
     */
    private static Optional<Integer> tryPropose(
            SectionSigner signer, Document base, Document edited, boolean lastAttempt, Invocation invocation) {
        ApiReply reply = invocation.api().read(DocumentResource.PATH);
        if (!reply.ok()) {
            return Optional.of(ReplyPrinter.printRefusal(reply, invocation));
        }
        Optional<Document> current = DocumentResource.parse(reply, invocation);
        if (current.isEmpty()) {
            return Optional.of(Program.EXIT_FAILED);
        }
        Section section = invocation.settings().value(SECTION);
        String currentText = current.get().sectionTexts().get(section);
        if (currentText.equals(edited.sectionTexts().get(section))) {
            return Optional.of(printAlreadyInForce(current.get(), invocation));
        }
        if (!currentText.equals(base.sectionTexts().get(section))) {
            return Optional.of(printConflict(base, current.get(), section, invocation));
        }
        Proposal proposal = signer.sign(
                invocation.settings().value(TEAM),
                current.get(),
                section,
                edited.sectionTexts().get(section));
        ApiReply proposalReply = invocation.api().send(DocumentResource.PATH + "/proposals", toJson(proposal));
        if (proposalReply.status() == STATUS_CONFLICT && !lastAttempt) {
            return Optional.empty();
        }
        return Optional.of(ReplyPrinter.print(proposalReply, invocation));
    }

    /** Prints that the section already has the edited text, for instance after an earlier run whose reply was lost. */
    private static int printAlreadyInForce(Document current, Invocation invocation) {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("outcome", "already-in-force").put("version", current.version());
        invocation.console().out().print(JsonFormatter.render(report, invocation.format()));
        return Program.EXIT_OK;
    }

    private static int printConflict(Document base, Document current, Section section, Invocation invocation) {
        List<SectionDiff> sectionDiffs = DocumentDiff.between(base, current).stream()
                .filter(diff -> diff.section() == section)
                .toList();
        if (invocation.format() == OutputFormat.JSON) {
            ObjectNode report = JsonNodeFactory.instance.objectNode();
            report.put("outcome", "conflict").put("version", current.version());
            report.put("section", section.key())
                    .put("text", current.sectionTexts().get(section));
            invocation.console().out().print(JsonFormatter.render(report, OutputFormat.JSON));
            return Program.EXIT_FAILED;
        }
        invocation
                .console()
                .err()
                .println("outcome=conflict version=" + current.version() + " section=" + section.key()
                        + " message=\"the section has changed since --base was fetched; its changes follow\"");
        DocumentCommands.printDiffs(sectionDiffs, invocation);
        return Program.EXIT_FAILED;
    }

    private static void printOmittedSections(Document base, Document edited, Invocation invocation) {
        Section section = invocation.settings().value(SECTION);
        DocumentDiff.between(base, edited).stream()
                .filter(diff -> diff.section() != section)
                .forEach(diff -> invocation
                        .console()
                        .err()
                        .println("note: section " + diff.section().key()
                                + " of the file differs too and is not proposed; its owner is " + diff.owner()));
    }

    private static ObjectNode toJson(Proposal proposal) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("team", proposal.team())
                .put("section", proposal.section().key())
                .put("baseVersion", proposal.baseVersion())
                .put("text", proposal.sectionText())
                .put("signature", proposal.signature());
    }
}
