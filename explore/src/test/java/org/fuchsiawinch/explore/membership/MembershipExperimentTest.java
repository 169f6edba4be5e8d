package org.fuchsiawinch.explore.membership;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a measuring command that is not reproducible or accepts invalid settings, and against gossip traffic
 * that exceeds its limit or grows with the group.
 */
public class MembershipExperimentTest {

    private static final int CONTROL_TRAFFIC_LIMIT_BYTES_PER_S = 8_000;

    @Test
    public void sameSeedPrintsSameTable() {
        String[] arguments = {"--nodes", "3,8", "--loss", "5", "--protocol", "gossip", "--rounds", "1", "--steady", "10"
        };
        String first = output(arguments, 0);
        assertEquals(output(arguments, 0), first);
        assertEquals(first.lines().count(), 4);
    }

    @Test
    public void reportsAllInvalidSettings() {
        String problems = output(new String[] {"--nodes", "1", "--loss", "5,x", "--protocol", "token-ring"}, 2);
        assertTrue(problems.contains("--nodes: INVALID"), problems);
        assertTrue(problems.contains("--loss: INVALID"), problems);
        assertTrue(problems.contains("--protocol: INVALID"), problems);
    }

    @Test
    public void gossipTrafficStaysBelowLimitAndHeartbeatTrafficDoesNot() {
        TrialResult gossip = trial(ProtocolKind.GOSSIP, 50);
        assertTrue(gossip.traffic().totalMax() < CONTROL_TRAFFIC_LIMIT_BYTES_PER_S, gossip.toString());
        assertEquals(gossip.missedDetections(), 0);
        TrialResult heartbeat = trial(ProtocolKind.HEARTBEAT, 50);
        assertTrue(heartbeat.traffic().totalMean() > CONTROL_TRAFFIC_LIMIT_BYTES_PER_S, heartbeat.toString());
    }

    @Test
    public void gossipTrafficDoesNotGrowWithGroupSize() {
        double small = trial(ProtocolKind.GOSSIP, 25).traffic().totalMean();
        double large = trial(ProtocolKind.GOSSIP, 100).traffic().totalMean();
        assertTrue(large < 2 * small, small + " and " + large);
    }

    private static TrialResult trial(ProtocolKind kind, int nodes) {
        return new MembershipTrial(new TrialSettings(kind, nodes, 1, 7, 60_000, 1)).run();
    }

    private static String output(String[] arguments, int status) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        assertEquals(MembershipExperiment.run(arguments, stream, stream), status);
        return out.toString(StandardCharsets.UTF_8);
    }
}
