package org.bulrushwheel.model.decision;

import java.util.Map;

/**
 * A decision as it stands in a log.
 *
 * <p>Immutable and thread safe.
 *
 * @param atEpochMillis time of day on the machine that wrote it, which may differ from others' by seconds
 * @param kind key of its kind
 * @param fields values by the keys of the fields
 */
public record LoggedDecision(long atEpochMillis, String kind, Map<String, String> fields) {
    /** Copies the fields. */
    public LoggedDecision {
        fields = Map.copyOf(fields);
    }

    /** Returns the value of a field, empty when there is none. */
    public String value(DecisionField field) {
        return fields.getOrDefault(field.key(), "");
    }
}
