package standins3;

import java.util.LinkedHashMap;
import java.util.Map;

/** JSON object under construction. */
public final class ObjectNode extends JsonNode {

    private final Map<String, Object> fields;

    /** Creates an empty object. */
    public ObjectNode() {
        this(new LinkedHashMap<>());
    }

    private ObjectNode(Map<String, Object> fields) {
        super(fields);
        this.fields = fields;
    }

    /** Sets a field to a string, number or boolean. */
    public ObjectNode put(String field, Object value) {
        fields.put(field, value);
        return this;
    }

    /** Sets a field to an empty object and returns that. */
    public ObjectNode putObject(String field) {
        ObjectNode added = new ObjectNode();
        fields.put(field, added);
        return added;
    }

    /** Sets a field to an empty array and returns that. */
    public ArrayNode putArray(String field) {
        ArrayNode added = new ArrayNode();
        fields.put(field, added);
        return added;
    }

    /** Returns the array in a field, which is added if it is missing. */
    public ArrayNode withArray(String field) {
        return fields.get(field) instanceof ArrayNode known ? known : putArray(field);
    }
}
