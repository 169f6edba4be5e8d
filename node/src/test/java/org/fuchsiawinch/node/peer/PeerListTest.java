package org.fuchsiawinch.node.peer;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.Endpoint;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PeerListTest {

    @Test
    public void readsPairsAndSkipsBlanks() {
        assertEquals(
                PeerList.parse(",10.0.0.1:7600, 10.0.0.2:7601"),
                Optional.of(List.of(new Endpoint("10.0.0.1", 7600), new Endpoint("10.0.0.2", 7601))));
        assertEquals(PeerList.parse(""), Optional.of(List.of()));
    }

    @Test
    public void rejectsEntriesThatAreNotPairs() {
        assertEquals(PeerList.parse("10.0.0.1"), Optional.empty());
        assertEquals(PeerList.parse("10.0.0.1:x"), Optional.empty());
        assertEquals(PeerList.parse("10.0.0.1:7600,:5"), Optional.empty());
        assertEquals(PeerList.parse("10.0.0.1:70000"), Optional.empty());
    }
}
