package standins3;

import java.util.ArrayList;
import java.util.List;

/** JSON array under construction. */
public final class ArrayNode extends JsonNode {

    private final List<Object> elements;

    /** Creates an empty array. */
    public ArrayNode() {
        this(new ArrayList<>());
    }

    private ArrayNode(List<Object> elements) {
        super(elements);
        this.elements = elements;
    }

    /** Adds a string, number or boolean. */
    public ArrayNode add(Object value) {
        elements.add(value);
        return this;
    }

    /** Adds an empty object and returns that. */
    public ObjectNode addObject() {
        ObjectNode added = new ObjectNode();
        elements.add(added);
        return added;
    }

    /** Adds an empty array and returns that. */
    public ArrayNode addArray() {
        ArrayNode added = new ArrayNode();
        elements.add(added);
        return added;
    }

    /** Returns the number of elements. */
    public int size() {
        return elements.size();
    }
}
