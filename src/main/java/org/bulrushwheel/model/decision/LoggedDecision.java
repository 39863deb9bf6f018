package org.bulrushwheel.model.decision;

import java.util.Map;

/**
 * A decision as read from a log.
 *
 * <p>Immutable and thread safe.
 *
 * @param atEpochMillis wall-clock time of the machine that logged it; clocks of machines may differ by seconds
 * @param kind key of its kind
 * @param fields values by the keys of the fields
 */
public record LoggedDecision(long atEpochMillis, String kind, Map<String, String> fields) {
    /** Copies the fields. */
    public LoggedDecision {
        fields = Map.copyOf(fields);
    }

    /** Returns the value of a field, empty if the decision does not have it. */
    public String value(DecisionField field) {
        return fields.getOrDefault(field.key(), "");
    }
}
