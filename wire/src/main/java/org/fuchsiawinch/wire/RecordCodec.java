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
     * @param envelope the record in its envelope
     * @return the encoded record
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
     * Decodes a record. A record of a kind that this version does not know is decoded as {@code Unrecognised}.
     *
     * @param bytes the encoded record
     * @return the record in its envelope
     * @throws CodecException if the bytes are not a valid record
     */
    public Envelope decode(byte[] bytes) {
        try {
            return mapper.readValue(bytes, Envelope.class);
        } catch (IOException | MessagePackException e) {
            throw new CodecException("Envelope", bytes.length, e);
        }
    }
}
