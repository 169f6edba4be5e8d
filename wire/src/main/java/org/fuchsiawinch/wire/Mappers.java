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

/** Creates the object mappers of the codecs. A mapper is not changed after its creation and is thread-safe. */
final class Mappers {

    private Mappers() {}

    /** Creates the mapper for log records. */
    static ObjectMapper messagePack() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.registerModule(new Jdk8Module());
        mapper.addHandler(new UnknownRecordKind());
        registerSealed(mapper, LogRecord.class);
        registerSealed(mapper, JobOutcome.class);
        return mapper;
    }

    /** Creates the mapper for HTTP bodies. */
    static ObjectMapper json() {
        MapperBuilder<JsonMapper, JsonMapper.Builder> builder = JsonMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .addModule(new Jdk8Module());
        ObjectMapper mapper = builder.build();
        registerSealed(mapper, WorkerCommand.class);
        return mapper;
    }

    /** Creates the mapper for messages between nodes. */
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

    /** Mix-in that writes the simple class name of a sealed type's permitted class as the property {@code @kind}. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "@kind")
    private interface NamedByKind {}

    /** Decodes records of kinds unknown to this version as {@link LogRecord.Unrecognised}. */
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
