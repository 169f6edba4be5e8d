package org.fuchsiawinch.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.ServiceLoader;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.workflow.cell.RulesDraft;
import org.fuchsiawinch.workflow.check.RulesCheck;
import org.fuchsiawinch.workflow.check.RulesDiff;
import org.fuchsiawinch.workflow.check.RulesDraftReader;
import org.fuchsiawinch.workflow.check.RulesFinding;
import org.fuchsiawinch.workflow.check.UnreadableRulesException;

/** Command that checks the rules which the users' platform keeps, before they are sent. Stateless. */
public final class RulesCommands {

    private static final String STANDARD_INPUT = "-";

    /** Largest file in bytes; a store takes no larger record. */
    private static final int MAX_BYTES = 4 * 1024 * 1024;

    private static final Setting<String> IN_FORCE =
            Setting.optionalText("in-force", "file with the version in force, to compare with");

    private static final Setting<Long> ACCELERATORS = Setting.number(
                    "accelerators", "accelerators of all workers; 0 if not known", 0, Integer.MAX_VALUE)
            .withDefault("0");

    private RulesCommands() {}

    /**
     * Returns the command.
     *
     * @return the command
     */
    public static Command check() {
        return new Command(
                "rules check",
                List.of("FILE"),
                "Checks a configuration for the users' platform: errors, entries that never match, contradictions, "
                        + "changes. FILE may be - for standard input. Exit status 1 if it finds anything but changes, "
                        + "2 if a file cannot be read. Works offline.",
                Command.settings(CommonSettings.OFFLINE, IN_FORCE, ACCELERATORS),
                List.of(
                        "fuchsiawinch-ctl rules check next.json --accelerators 1968",
                        "fuchsiawinch-ctl rules check - --in-force now.json --output json < next.json"),
                RulesCommands::check);
    }

    private static int check(Invocation invocation) {
        RulesDraftReader reader = ServiceLoader.load(RulesDraftReader.class)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no reader of rules on the class path"));
        List<RulesFinding> findings = new ArrayList<>();
        try {
            RulesDraft draft = read(reader, invocation.arguments().get(0));
            int accelerators = invocation.settings().value(ACCELERATORS).intValue();
            findings.addAll(new RulesCheck(accelerators == 0 ? OptionalInt.empty() : OptionalInt.of(accelerators))
                    .findings(draft));
            String inForce = invocation.settings().value(IN_FORCE);
            if (!inForce.isEmpty()) {
                findings.addAll(RulesDiff.findings(read(reader, inForce), draft));
            }
        } catch (UnreadableRulesException e) {
            invocation.console().err().println(e.getMessage());
            return Program.EXIT_USAGE;
        }
        print(findings, invocation);
        boolean onlyChanges = findings.stream().allMatch(finding -> finding.kind() == RulesFinding.Kind.CHANGE);
        return onlyChanges ? Program.EXIT_OK : Program.EXIT_FAILED;
    }

    private static RulesDraft read(RulesDraftReader reader, String file) {
        try {
            return reader.read(bytes(file));
        } catch (UnreadableRulesException e) {
            throw new UnreadableRulesException(file + ": " + e.getMessage(), e);
        }
    }

    private static byte[] bytes(String file) {
        try {
            byte[] content = file.equals(STANDARD_INPUT)
                    ? System.in.readNBytes(MAX_BYTES + 1)
                    : Files.size(Path.of(file)) > MAX_BYTES
                            ? new byte[MAX_BYTES + 1]
                            : Files.readAllBytes(Path.of(file));
            if (content.length > MAX_BYTES) {
                throw new UnreadableRulesException("larger than " + MAX_BYTES + " bytes", null);
            }
            return content;
        } catch (IOException | InvalidPathException e) {
            throw new UnreadableFileException(file, e);
        }
    }

    private static void print(List<RulesFinding> findings, Invocation invocation) {
        if (invocation.format() == OutputFormat.TABLE) {
            findings.forEach(finding -> invocation
                    .console()
                    .out()
                    .println(finding.kind() + " " + finding.path() + ": " + finding.detail()));
            return;
        }
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        ArrayNode entries = report.putArray("findings");
        findings.forEach(finding -> entries.addObject()
                .put("kind", finding.kind().name())
                .put("path", finding.path())
                .put("detail", finding.detail()));
        invocation.console().out().println(report.toPrettyString());
    }
}
