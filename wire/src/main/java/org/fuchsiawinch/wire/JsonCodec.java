package org.fuchsiawinch.wire;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Encodes the bodies of HTTP requests and responses as JSON. Thread-safe. */
public final class JsonCodec {

    private final ObjectMapper mapper = Mappers.json();

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     * @throws CodecException if the message cannot be encoded
     */
    public byte[] encode(Object message) {
        try {
            return mapper.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new CodecException(message.getClass().getSimpleName(), 0, e);
        }
    }

    /**
     * Encodes a message of a sealed type together with its kind.
     *
     * @param message the message
     * @param declared the sealed type
     * @param <T> the sealed type
     * @return the encoded message
     * @throws CodecException if the message cannot be encoded
     */
    public <T> byte[] encodeAs(T message, Class<T> declared) {
        try {
            return mapper.writerFor(declared).writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new CodecException(declared.getSimpleName(), 0, e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the encoded message
     * @param type type of the message
     * @param <T> type of the message
     * @return the message
     * @throws CodecException if the bytes are not a valid message of the type; its text names line and column
     */
    public <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return mapper.readValue(bytes, type);
        } catch (IOException e) {
            throw new CodecException(type.getSimpleName(), bytes.length, e);
        }
    }
}
