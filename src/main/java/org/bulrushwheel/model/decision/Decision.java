package org.bulrushwheel.model.decision;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * One decision with its inputs and its outcome.
 *
 * <p>Immutable and thread safe if the values of the fields are.
 *
 * @param kind what was decided
 * @param failure whether it is a failure that may be noticed outside; failures are kept when other decisions are dropped
 * @param fields inputs and outcome, in the order of the fields
 */
public record Decision(DecisionKind kind, boolean failure, Map<DecisionField, Object> fields) {
    /** Copies the fields. */
    public Decision {
        Map<DecisionField, Object> copy = new EnumMap<>(DecisionField.class);
        copy.putAll(fields);
        fields = Collections.unmodifiableMap(copy);
    }

    /** Returns a decision of a kind without fields, which is no failure. */
    public static Decision of(DecisionKind kind) {
        return new Decision(kind, false, Map.of());
    }

    /** Returns this decision with one extended field. */
    public Decision with(DecisionField field, Object value) {
        Map<DecisionField, Object> extended = new EnumMap<>(DecisionField.class);
        extended.putAll(fields);
        extended.put(field, value);
        return new Decision(kind, failure, extended);
    }

    /** Returns this decision as a failure. */
    public Decision asFailure() {
        return new Decision(kind, true, fields);
    }

    /** Returns the id of the request that the decision concerns, if any. */
    public Optional<String> request() {
        return Optional.ofNullable(fields.get(DecisionField.REQUEST)).map(Object::toString);
    }
}
