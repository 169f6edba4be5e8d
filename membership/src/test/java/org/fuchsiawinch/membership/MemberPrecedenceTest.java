package org.fuchsiawinch.membership;

import org.fuchsiawinch.model.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

/**
 * Guards against an outdated update that replaces a newer one or undoes a leave, for pairs of updates on one member by
 * state and incarnation, and against invalid members and addresses.
 */
public class MemberPrecedenceTest {

    @DataProvider
    Object[][] pairs() {
        return new Object[][] {
            {MemberState.SUSPECT, 0, MemberState.ALIVE, 0, true},
            {MemberState.ALIVE, 0, MemberState.SUSPECT, 0, false},
            {MemberState.ALIVE, 1, MemberState.SUSPECT, 0, true},
            {MemberState.ALIVE, 1, MemberState.DEAD, 0, true},
            {MemberState.ALIVE, 0, MemberState.DEAD, 0, false},
            {MemberState.DEAD, 0, MemberState.SUSPECT, 0, true},
            {MemberState.DEAD, 0, MemberState.ALIVE, 1, false},
            {MemberState.LEAVING, 0, MemberState.ALIVE, 7, true},
            {MemberState.LEAVING, 0, MemberState.SUSPECT, 7, true},
            {MemberState.ALIVE, 7, MemberState.LEAVING, 0, false},
            {MemberState.SUSPECT, 7, MemberState.LEAVING, 0, false},
            {MemberState.LEAVING, 0, MemberState.DEAD, 0, false},
            {MemberState.LEAVING, 1, MemberState.DEAD, 0, true},
            {MemberState.DEAD, 0, MemberState.LEAVING, 0, true},
            {MemberState.ALIVE, 0, MemberState.ALIVE, 0, false},
        };
    }

    @Test(dataProvider = "pairs")
    public void supersedesByStateAndIncarnation(
            MemberState newState,
            int newIncarnation,
            MemberState earlierState,
            int earlierIncarnation,
            boolean expected) {
        Member update = member().withState(newState).withIncarnation(newIncarnation);
        Member earlier = member().withState(earlierState).withIncarnation(earlierIncarnation);
        assertEquals(update.supersedes(earlier), expected);
    }

    @Test
    public void rejectsInvalidFields() {
        IllegalMembershipException port =
                expectThrows(IllegalMembershipException.class, () -> new Endpoint("10.0.0.1", 0));
        assertEquals(port.field(), "port");
        IllegalMembershipException incarnation =
                expectThrows(IllegalMembershipException.class, () -> member().withIncarnation(-1));
        assertEquals(incarnation.field(), "incarnation");
    }

    private static Member member() {
        return Member.alive(new NodeId("n1"), new Endpoint("10.0.0.1", 7000), "suva-1");
    }
}
