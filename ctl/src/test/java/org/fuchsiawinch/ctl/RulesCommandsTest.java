package org.fuchsiawinch.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against a faulty configuration that is sent because its check overlooks the fault, or ends by itself. */
public final class RulesCommandsTest {

    private static final String VALID =
            "{\"version\":8,\"routes\":[{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\","
                    + "\"service\":\"desk\",\"priority\":1,\"maxAttempts\":2,\"slackFactor\":1.5,\"targetCompletionMs\":250}],"
                    + "\"services\":[{\"name\":\"desk\"}],\"limits\":{\"maxBodyBytes\":4096},"
                    + "\"tenants\":[{\"name\":\"ws\",\"apiKeys\":[\"k1\"],\"guaranteed\":{\"gpu\":8}}]}";

    private final FakeNode node = new FakeNode();
    private Path file;

    @AfterMethod(alwaysRun = true)
    public void deleteFile() throws IOException {
        if (file != null) {
            Files.deleteIfExists(file);
        }
    }

    private CtlRun check(String content, String... settings) throws IOException {
        file = Files.createTempFile("rules", ".json");
        Files.writeString(file, content);
        String[] arguments = new String[3 + settings.length];
        List.of("rules", "check", file.toString()).toArray(arguments);
        System.arraycopy(settings, 0, arguments, 3, settings.length);
        return CtlRun.of(node, arguments);
    }

    @Test
    public void findsNothingInAValidConfiguration() throws IOException {
        CtlRun run = check(VALID, "--accelerators", "8");
        assertEquals(run.status(), 0, run.out() + run.err());
        assertEquals(run.out(), "");
    }

    /** A fault, and the beginning of the line that names it. */
    @DataProvider
    public Object[][] faults() {
        String route = VALID.substring(VALID.indexOf("{\"name\":\"q\""), VALID.indexOf("],\"services\""));
        return new Object[][] {
            {VALID.replace(route, route + "," + route.replace("\"q\"", "\"r\"")), "UNREACHABLE routes[1]: hidden by"},
            {VALID.replace("\"service\":\"desk\"", "\"service\":\"desc\""), "UNREACHABLE routes[0].service: "},
            {VALID.replace("\"/q/\"", "\"q/\""), "UNREACHABLE routes[0].pathPrefix: "},
            {VALID.replace("\"h\"", "\"h:80\""), "UNREACHABLE routes[0].host: "},
            {VALID.replace("[\"k1\"]", "[]"), "UNREACHABLE routes[0]: needs a key"},
            {VALID.replace("[\"k1\"]", "[\"k1\",\"k1\"]"), "ERROR tenants[0].apiKeys[1]: "},
            {VALID.replace("\"maxAttempts\":2", "\"maxAttempts\":0"), "CONTRADICTION routes[0].maxAttempts: "},
            {VALID.replace("\"slackFactor\":1.5", "\"slackFactor\":-1"), "ERROR routes[0].slackFactor: "},
            {VALID.replace("\"gpu\":8", "\"gpu\":9"), "CONTRADICTION tenants: 9 accelerators"},
            {VALID.replace("4096", "0"), "CONTRADICTION limits.maxBodyBytes: "},
        };
    }

    @Test(dataProvider = "faults")
    public void namesEachFault(String content, String line) throws IOException {
        CtlRun run = check(content, "--accelerators", "8");
        assertEquals(run.status(), 1, run.err());
        assertTrue(run.out().lines().anyMatch(found -> found.startsWith(line)), run.out());
    }

    @Test
    public void showsWhatDiffersFromTheVersionInForce() throws IOException {
        Path inForce = Files.createTempFile("in-force", ".json");
        try {
            Files.writeString(inForce, VALID.replace("\"version\":8", "\"version\":7"));
            CtlRun run = check(
                    VALID.replace("\"priority\":1", "\"priority\":0").replace("k1", "k2"),
                    "--in-force",
                    inForce.toString());
            assertEquals(run.status(), 0, run.err());
            assertEquals(
                    run.out().lines().toList(),
                    List.of(
                            "CHANGE routes.q.priority: 1 -> 0, for jobs accepted from then on",
                            "CHANGE tenants.ws.apiKeys: 1 added, 1 removed, for requests from then on"));
            Files.writeString(inForce, VALID.replace("\"version\":8", "\"version\":9"));
            assertEquals(check(VALID, "--in-force", inForce.toString()).status(), 1, "a version that is ignored");
        } finally {
            Files.deleteIfExists(inForce);
        }
    }

    /** Files that cannot be read. */
    @DataProvider
    public Object[][] unreadable() {
        return new Object[][] {
            {""},
            {"[]"},
            {VALID.substring(0, VALID.length() / 2)},
            {"x".repeat(256 * 1024)},
            {"[".repeat(10_000)},
            {"{\"version\":1,\"routes\":" + "[".repeat(10_000)},
            {VALID.replace("\"version\":8", "\"version\":99999999999999999999")},
            {VALID.replace("\"gpu\":8", "\"gpu\":99999999999999999999")},
            {VALID.replace("\"host\":\"h\"", "\"host\":7")},
        };
    }

    @Test(dataProvider = "unreadable")
    public void reportsUnreadableFilesOnOneLine(String content) throws IOException {
        CtlRun run = check(content);
        assertEquals(run.status(), 2, run.out());
        assertEquals(run.err().lines().count(), 1, run.err());
        assertTrue(run.err().length() < 600, "length " + run.err().length());
    }

    @Test
    public void writesJson() throws IOException {
        CtlRun run = check(VALID.replace("4096", "0"), "--output", "json");
        assertEquals(run.status(), 1);
        assertTrue(run.out().contains("\"path\" : \"limits.maxBodyBytes\""), run.out());
    }
}
