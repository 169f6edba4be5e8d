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
            Setting.text("base", "file as it was before the edit, from document get");
    private static final Setting<String> TEAM = Setting.text("team", "name of the team that signs");
    private static final Setting<String> KEY = Setting.text("key", "PEM file with the team's private key");
    private static final Setting<Section> SECTION = new Setting<>(
            "section",
            "section to propose; other changes of the file are left out",
            Optional.empty(),
            Section::ofKey,
            "a section's key");
    private static final Setting<Long> ATTEMPTS = Setting.number(
                    "attempts", "most tries when other sections keep changing", 1, 100)
            .withDefault("5");
    private static final int STATUS_CONFLICT = 409;

    private ProposeCommand() {}

    static Command command() {
        return new Command(
                "document propose",
                List.of("FILE"),
                "Signs a section of an edited file and proposes it; shows the conflict if it changed meanwhile.",
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
        noteOtherSections(base.get(), edited.get(), invocation);
        long attempts = invocation.settings().value(ATTEMPTS);
        for (long attempt = 1; attempt < attempts; attempt++) {
            Optional<Integer> status = attempt(signer, base.get(), edited.get(), false, invocation);
            if (status.isPresent()) {
                return status.get();
            }
        }
        return attempt(signer, base.get(), edited.get(), true, invocation).orElse(Program.EXIT_FAILED);
    }

    private static Optional<Integer> attempt(
            SectionSigner signer, Document base, Document edited, boolean last, Invocation invocation) {
        ApiReply reply = invocation.api().read(DocumentResource.PATH);
        if (!reply.ok()) {
            return Optional.of(ReplyPrinter.printRefusal(reply, invocation));
        }
        Optional<Document> current = DocumentResource.parse(reply, invocation);
        if (current.isEmpty()) {
            return Optional.of(Program.EXIT_FAILED);
        }
        Section section = invocation.settings().value(SECTION);
        String inForce = current.get().sectionTexts().get(section);
        if (inForce.equals(edited.sectionTexts().get(section))) {
            return Optional.of(alreadyInForce(current.get(), invocation));
        }
        if (!inForce.equals(base.sectionTexts().get(section))) {
            return Optional.of(sectionConflict(base, current.get(), section, invocation));
        }
        Proposal proposal = signer.sign(
                invocation.settings().value(TEAM),
                current.get(),
                section,
                edited.sectionTexts().get(section));
        ApiReply answer = invocation.api().send(DocumentResource.PATH + "/proposals", json(proposal));
        if (answer.status() == STATUS_CONFLICT && !last) {
            return Optional.empty();
        }
        return Optional.of(ReplyPrinter.print(answer, invocation));
    }

    /** Prints that the section already has the edited text, for instance after an earlier run whose reply was lost. */
    private static int alreadyInForce(Document current, Invocation invocation) {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        report.put("outcome", "already-in-force").put("version", current.version());
        invocation.console().out().print(JsonFormatter.render(report, invocation.format()));
        return Program.EXIT_OK;
    }

    private static int sectionConflict(Document base, Document current, Section section, Invocation invocation) {
        List<SectionDiff> others = DocumentDiff.between(base, current).stream()
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
                        + " message=\"the section changed since --base was taken; its changes follow\"");
        DocumentCommands.print(others, invocation);
        return Program.EXIT_FAILED;
    }

    private static void noteOtherSections(Document base, Document edited, Invocation invocation) {
        Section section = invocation.settings().value(SECTION);
        DocumentDiff.between(base, edited).stream()
                .filter(diff -> diff.section() != section)
                .forEach(diff -> invocation
                        .console()
                        .err()
                        .println("note: section " + diff.section().key() + " of the file differs too and is left out; "
                                + diff.owner() + " proposes it"));
    }

    private static ObjectNode json(Proposal proposal) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("team", proposal.team())
                .put("section", proposal.section().key())
                .put("baseVersion", proposal.baseVersion())
                .put("text", proposal.sectionText())
                .put("signature", proposal.signature());
    }
}
