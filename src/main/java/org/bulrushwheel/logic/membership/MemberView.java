package org.bulrushwheel.logic.membership;

import java.util.Set;

/**
 * An instance's view of its zone at one moment.
 *
 * <p>Immutable and thread safe.
 *
 * @param alive instances eligible as owners, including this one unless it is leaving
 * @param serving instances that look-ups may return: alive, not suspected and not leaving
 */
public record MemberView(Set<String> alive, Set<String> serving) {
    /** Copies the sets. */
    public MemberView {
        alive = Set.copyOf(alive);
        serving = Set.copyOf(serving);
    }
}
