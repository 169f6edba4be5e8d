package org.fuchsiawinch.wire;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipMessage;
import org.fuchsiawinch.model.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests that messages between nodes keep all fields, and that frames of senders without the shared secret and frames
 * modified on the way are rejected.
 */
public class PeerCodecTest {

    private static final Member MEMBER = Member.alive(new NodeId("n0-1"), new Endpoint("127.0.0.1", 7600), "suva-1");

    private final PeerCodec codec = new PeerCodec("secret");

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {new PeerMessage.Membership(new MembershipMessage.Ping(MEMBER, 3, List.of(MEMBER)))},
            {new PeerMessage.Membership(new MembershipMessage.Ack(MEMBER, 3, new NodeId("n1-1"), List.of()))},
            {new PeerMessage.Membership(new MembershipMessage.SyncRequest(MEMBER, 42L, Optional.empty()))},
            {new PeerMessage.Status(new PeerMessage.NodeStatusMessage(new NodeId("n0-1"), "suva-1", false, true, 17, 4))
            },
            {new PeerMessage.DocumentGiven(4, "teams:\n", 16)},
        };
    }

    @Test(dataProvider = "messages")
    public void decodesWhatItEncoded(PeerMessage message) {
        assertEquals(codec.decode(codec.encode(message)), message);
    }

    @Test
    public void rejectsFramesOfAnotherSecretAndModifiedFrames() {
        PeerMessage message = new PeerMessage.DocumentGiven(4, "teams:\n", 16);
        assertThrows(UntrustedPeerException.class, () -> codec.decode(new PeerCodec("other").encode(message)));
        byte[] frame = codec.encode(message);
        frame[frame.length - 1] ^= 1;
        assertThrows(UntrustedPeerException.class, () -> codec.decode(frame));
        assertThrows(UntrustedPeerException.class, () -> codec.decode(new byte[8]));
    }
}
