package org.bulrushwheel.logic.membership;

import java.util.Set;

/**
 * What an instance knows of its zone at one moment.
 *
 * <p>Immutable and thread safe.
 *
 * @param alive instances that may own, this one among them unless it leaves
 * @param serving instances that look-ups may name: alive, not suspect and not leaving
 */
public record MemberView(Set<String> alive, Set<String> serving) {
    /** Copies the sets. */
    public MemberView {
        alive = Set.copyOf(alive);
        serving = Set.copyOf(serving);
    }
}
