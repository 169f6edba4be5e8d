package org.fuchsiawinch.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.fuchsiawinch.ctl.command.Command;
import org.fuchsiawinch.ctl.command.Commands;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests dispatch, help, exit statuses, the commands that only read, and the first document. */
public final class CommandDispatcherTest {

    private static final String SAMPLE = "../samples/lagilagi/document.yaml";

    private final FakeNode node = new FakeNode();

    /** The help of each command names its flags and has an example; a missing or unknown command is a usage error. */
    @Test
    public void everyCommandHasHelp() {
        String overview = CtlRun.of(node, "--help").out();
        for (Command command : Commands.all()) {
            assertTrue(overview.contains(command.usage()), command.name());
            String[] call = (command.name() + " --help").split(" ");
            CtlRun help = CtlRun.of(node, call);
            assertEquals(help.status(), 0);
            assertTrue(help.out().contains("fuchsiawinch-ctl " + command.name()), help.out());
            command.settings().forEach(setting -> assertTrue(help.out().contains("--" + setting.flag()), help.out()));
        }
        assertEquals(CtlRun.of(node).status(), 2);
        assertEquals(CtlRun.of(node, "documents").status(), 2);
    }

    /** All invalid arguments and settings are reported by one run, not only the first. */
    @Test
    public void reportsAllUsageProblemsAtOnce() {
        CtlRun run = CtlRun.of(node, "document", "propose", "--section", "money", "--node", "ftp://x", "--colour", "1");
        assertEquals(run.status(), 2);
        for (String problem : new String[] {
            "FILE: MISSING",
            "--section: INVALID",
            "--node: INVALID",
            "--colour: UNKNOWN_FLAG",
            "--team: MISSING",
            "--key: MISSING",
            "--base: MISSING"
        }) {
            assertTrue(run.err().contains(problem), problem + " in " + run.err());
        }
        assertTrue(CtlRun.of(node, "jobs", "extra").err().contains("extra: UNEXPECTED"));
    }

    /** An unreadable or invalid file is a usage error that names the file, and line and field of each problem. */
    @Test
    public void reportsUnreadableAndInvalidFiles() throws IOException {
        assertEquals(CtlRun.of(node, "document", "check", SAMPLE).status(), 0);
        CtlRun absent = CtlRun.of(node, "document", "check", "absent.yaml");
        assertEquals(absent.status(), 2);
        assertTrue(absent.err().startsWith("absent.yaml cannot be read"), absent.err());
        Path file = Files.createTempFile("bad", ".yaml");
        Files.writeString(file, FakeNode.read(Path.of(SAMPLE)).replace("checkpoint: 20s", "checkpoint: 20"));
        CtlRun bad = CtlRun.of(node, "document", "check", file.toString());
        assertEquals(bad.status(), 2);
        assertTrue(bad.err().contains(":54: capacity.lending.checkpoint: WRONG_UNIT"), bad.err());
        CtlRun json = CtlRun.of(node, "document", "check", file.toString(), "--output", "json");
        assertEquals(json.status(), 2);
        assertTrue(json.out().contains("\"code\" : \"WRONG_UNIT\""), json.out());
        Files.delete(file);
    }

    /**
     * Standard output has only the document's text, so that it can be redirected; the version is on standard error. The
     * document does not differ from the file that it was read from.
     */
    @Test
    public void printsTheDocumentInForce() {
        CtlRun run = CtlRun.of(node, "document", "get");
        assertEquals(run.out(), node.current().text());
        assertTrue(run.err().startsWith("version=1 digest="), run.err());
        assertEquals(CtlRun.of(node, "document", "diff", SAMPLE).out(), "no difference\n");
    }

    /** The first document can be put in force only once. */
    @Test
    public void acceptsTheFirstDocumentOnce() {
        FakeNode empty = new FakeNode(false);
        CtlRun first = CtlRun.of(empty, "document", "found", SAMPLE);
        assertEquals(first.status(), 0, first.err());
        assertEquals(empty.current().text(), FakeNode.read(Path.of(SAMPLE)));
        CtlRun second = CtlRun.of(empty, "document", "found", SAMPLE);
        assertEquals(second.status(), 1);
        assertEquals(second.err(), "status=409 error=ALREADY_FOUNDED\n");
    }

    /** A list is printed as a table; a refusal is printed as one line with exit status 1. */
    @Test
    public void printsRepliesAndRefusals() {
        assertEquals(CtlRun.of(node, "jobs").out(), "job      state\nplans-1  waiting\n");
        CtlRun refused = CtlRun.of(node, "explain", "plans/2");
        assertEquals(refused.status(), 1);
        assertEquals(
                refused.err(), "status=404 error=NOT_FOUND message=\"no such path: /v1/jobs/plans%2F2/explain\"\n");
    }
}
