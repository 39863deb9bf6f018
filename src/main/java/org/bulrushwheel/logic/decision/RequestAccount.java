package org.bulrushwheel.logic.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.LoggedDecision;

/**
 * The decisions that several processes logged about one request, with the background decisions that may explain them:
 * recent ones about the endpoints that it was sent to, and those that changed the state of its entry instance.
 *
 * <p>Immutable and thread safe.
 *
 * @param own decisions about the request, ordered by time
 * @param background related decisions, ordered by time
 */
public record RequestAccount(List<LoggedDecision> own, List<LoggedDecision> background) {
    // Exceeds both the age of a view while its instance is in contact with control, and the clock skew between
    // machines.
    private static final long BEFORE_MILLIS = 6_000;
    private static final long AFTER_MILLIS = 1_000;
    private static final Set<String> INSTANCE_KINDS = Set.of(
            DecisionKind.VIEW_CHANGED.key(),
            DecisionKind.CONFIGURATION_IN_FORCE.key(),
            DecisionKind.UPDATE_MISSED.key(),
            DecisionKind.DEPENDENCY_LOST.key(),
            DecisionKind.DEPENDENCY_REGAINED.key(),
            DecisionKind.STALLED.key(),
            DecisionKind.STARTED.key(),
            DecisionKind.STOPPING.key());
    private static final Set<String> ENDPOINT_KINDS = Set.of(
            DecisionKind.ENDPOINT_ANNOUNCED.key(),
            DecisionKind.ENDPOINT_SILENT.key(),
            DecisionKind.ENDPOINT_JUDGED.key());

    /** Copies the lists. */
    public RequestAccount {
        own = List.copyOf(own);
        background = List.copyOf(background);
    }

    /** Collects the account of a request from the logged decisions; empty when none concerns it. */
    public static RequestAccount of(String requestId, Collection<LoggedDecision> logged) {
        List<LoggedDecision> own = logged.stream()
                .filter(decision -> decision.value(DecisionField.REQUEST).equals(requestId))
                .sorted(Comparator.comparingLong(LoggedDecision::atEpochMillis))
                .toList();
        if (own.isEmpty()) {
            return new RequestAccount(List.of(), List.of());
        }
        long from = own.get(0).atEpochMillis() - BEFORE_MILLIS;
        long to = own.get(own.size() - 1).atEpochMillis() + AFTER_MILLIS;
        Set<String> instances = values(own, DecisionField.INSTANCE);
        Set<String> endpoints = endpointsOf(own);
        Set<String> zones = values(own, DecisionField.ZONE);
        List<LoggedDecision> background = logged.stream()
                .filter(decision -> decision.atEpochMillis() >= from && decision.atEpochMillis() <= to)
                .filter(decision -> isRelated(decision, instances, endpoints, zones))
                .sorted(Comparator.comparingLong(LoggedDecision::atEpochMillis))
                .toList();
        return new RequestAccount(own, background);
    }

    /** Returns a one-line summary, the background, and the request's own decisions with their inputs. */
    public List<String> lines() {
        if (own.isEmpty()) {
            return List.of();
        }
        List<String> lines = new ArrayList<>();
        lines.add(summary());
        lines.add("related decisions:");
        background.forEach(decision -> lines.add(line(decision)));
        lines.add("decisions about this request:");
        own.forEach(decision -> lines.add(line(decision)));
        return lines;
    }

    private String summary() {
        LoggedDecision last = own.get(own.size() - 1);
        boolean hasOutcome = Set.of(
                        DecisionKind.ANSWERED.key(),
                        DecisionKind.REFUSED.key(),
                        DecisionKind.FAILED.key(),
                        DecisionKind.ABANDONED.key())
                .contains(last.kind());
        if (!hasOutcome) {
            return "no outcome is logged; the instance " + last.value(DecisionField.INSTANCE)
                    + " may have stopped or dropped log lines";
        }
        return last.kind() + " with status " + last.value(DecisionField.STATUS) + " because of "
                + last.value(DecisionField.REASON) + " after " + last.value(DecisionField.TOOK_MILLIS)
                + " ms, may have run: " + last.value(DecisionField.MAY_HAVE_RUN) + ", view "
                + last.value(DecisionField.VIEW_AGE_MILLIS) + " ms old, at " + last.value(DecisionField.INSTANCE);
    }

    private String line(LoggedDecision decision) {
        long offset = decision.atEpochMillis() - own.get(0).atEpochMillis();
        String inputs = Stream.of(DecisionField.values())
                .filter(field -> field != DecisionField.INSTANCE && field != DecisionField.REQUEST)
                .filter(field -> !decision.value(field).isEmpty())
                .map(field -> field.key() + "=" + decision.value(field))
                .collect(Collectors.joining(" "));
        return String.format(
                "%+7d ms  %-22s %s  %s", offset, decision.kind(), decision.value(DecisionField.INSTANCE), inputs);
    }

    private static boolean isRelated(
            LoggedDecision decision, Set<String> instances, Set<String> endpoints, Set<String> zones) {
        if (!decision.value(DecisionField.REQUEST).isEmpty()) {
            return false;
        }
        if (INSTANCE_KINDS.contains(decision.kind())) {
            return instances.contains(decision.value(DecisionField.INSTANCE));
        }
        if (decision.kind().equals(DecisionKind.EVACUATION_APPLIED.key())) {
            return zones.contains(decision.value(DecisionField.ZONE));
        }
        return ENDPOINT_KINDS.contains(decision.kind())
                && (endpoints.contains(decision.value(DecisionField.ENDPOINT))
                        || endpoints.stream().anyMatch(decision.value(DecisionField.ENDPOINTS)::contains));
    }

    private static Set<String> endpointsOf(List<LoggedDecision> own) {
        Set<String> endpoints = new HashSet<>(values(own, DecisionField.ENDPOINT));
        values(own, DecisionField.ATTEMPTS).forEach(attempts -> Stream.of(attempts.split(" "))
                .map(attempt -> attempt.split("=")[0])
                .forEach(endpoints::add));
        return endpoints;
    }

    private static Set<String> values(List<LoggedDecision> decisions, DecisionField field) {
        return decisions.stream()
                .map(decision -> decision.value(field))
                .filter(value -> !value.isEmpty())
                .collect(Collectors.toSet());
    }
}
