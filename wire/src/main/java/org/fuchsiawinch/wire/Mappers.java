package org.fuchsiawinch.wire;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.jsontype.TypeIdResolver;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.fuchsiawinch.membership.MembershipMessage;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.worker.WorkerCommand;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Makes the mappers that all codecs share. A mapper is immutable after construction and thread-safe. */
final class Mappers {

    private Mappers() {}

    /** Makes the mapper of the log's records. */
    static ObjectMapper messagePack() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.registerModule(new Jdk8Module());
        mapper.addHandler(new UnknownRecordKind());
        registerSealed(mapper, LogRecord.class);
        registerSealed(mapper, JobOutcome.class);
        return mapper;
    }

    /** Makes the mapper of HTTP bodies. */
    static ObjectMapper json() {
        MapperBuilder<JsonMapper, JsonMapper.Builder> builder = JsonMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .addModule(new Jdk8Module());
        ObjectMapper mapper = builder.build();
        registerSealed(mapper, WorkerCommand.class);
        return mapper;
    }

    /** Makes the mapper of messages between nodes. */
    static ObjectMapper peers() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.registerModule(new Jdk8Module());
        registerSealed(mapper, PeerMessage.class);
        registerSealed(mapper, MembershipMessage.class);
        return mapper;
    }

    private static void registerSealed(ObjectMapper mapper, Class<?> sealedType) {
        mapper.addMixIn(sealedType, NamedByKind.class);
        for (Class<?> permitted : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(permitted, permitted.getSimpleName()));
        }
    }

    /** Puts the simple name of a sealed type's permitted class into the property {@code kind}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@kind")
    private interface NamedByKind {}

    /** Reads records of later versions as unrecognised ones. */
    private static final class UnknownRecordKind extends DeserializationProblemHandler {

        @Override
        public JavaType handleUnknownTypeId(
                DeserializationContext context,
                JavaType baseType,
                String subTypeId,
                TypeIdResolver resolver,
                String failureMessage) {
            if (!baseType.hasRawClass(LogRecord.class)) {
                return null;
            }
            return context.constructType(LogRecord.Unrecognised.class);
        }
    }
}
