package org.fuchsiawinch.wire;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.core.MessagePackException;

/**
 * Encodes messages between nodes as frames: an HMAC-SHA256 tag under the shared secret, then a MessagePack payload.
 * Thread-safe.
 */
public final class PeerCodec {

    /** Length of the authentication tag in bytes. */
    public static final int TAG_BYTES = 32;

    private static final String ALGORITHM = "HmacSHA256";

    private final ObjectMapper mapper = Mappers.peers();
    private final SecretKeySpec key;

    /**
     * Creates a codec.
     *
     * @param secret secret shared by all nodes
     */
    public PeerCodec(String secret) {
        this.key = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return frame of tag and payload
     * @throws CodecException if the message cannot be encoded
     */
    public byte[] encode(PeerMessage message) {
        try {
            byte[] payload = mapper.writerFor(PeerMessage.class).writeValueAsBytes(message);
            return ByteBuffer.allocate(TAG_BYTES + payload.length)
                    .put(tag(payload))
                    .put(payload)
                    .array();
        } catch (JsonProcessingException e) {
            throw new CodecException("PeerMessage", 0, e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param frame frame of tag and payload
     * @return the message
     * @throws UntrustedPeerException if the frame has no valid tag under the shared secret
     * @throws CodecException if the payload is not a valid message
     */
    public PeerMessage decode(byte[] frame) {
        if (frame.length < TAG_BYTES) {
            throw new UntrustedPeerException(frame.length);
        }
        byte[] payload = Arrays.copyOfRange(frame, TAG_BYTES, frame.length);
        if (!MessageDigest.isEqual(tag(payload), Arrays.copyOf(frame, TAG_BYTES))) {
            throw new UntrustedPeerException(frame.length);
        }
        try {
            return mapper.readValue(payload, PeerMessage.class);
        } catch (IOException | MessagePackException e) {
            throw new CodecException("PeerMessage", frame.length, e);
        }
    }

    private byte[] tag(byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return mac.doFinal(payload);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
