package org.fuchsiawinch.wire;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.fuchsiawinch.protocol.record.Envelope;
import org.msgpack.core.MessagePackException;

/** Encodes log records as MessagePack maps. Thread-safe. */
public final class RecordCodec {

    private final ObjectMapper mapper = Mappers.messagePack();

    /**
     * Encodes a record.
     *
     * @param envelope the record
     * @return its bytes
     * @throws CodecException if the record cannot be encoded
     */
    public byte[] encode(Envelope envelope) {
        try {
            return mapper.writeValueAsBytes(envelope);
        } catch (JsonProcessingException e) {
            throw new CodecException(envelope.record().getClass().getSimpleName(), 0, e);
        }
    }

    /**
     * Decodes a record. A kind that this version does not know becomes {@code Unrecognised}.
     *
     * @param bytes the bytes
     * @return the record
     * @throws CodecException if the bytes are no record
     */
    public Envelope decode(byte[] bytes) {
        try {
            return mapper.readValue(bytes, Envelope.class);
        } catch (IOException | MessagePackException e) {
            throw new CodecException("Envelope", bytes.length, e);
        }
    }
}
