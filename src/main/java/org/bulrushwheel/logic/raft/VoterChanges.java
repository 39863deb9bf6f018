package org.bulrushwheel.logic.raft;

import java.util.HashSet;
import java.util.Set;

import org.bulrushwheel.model.proto.Voters;

/**
 * Rules for voter set changes.
 *
 * <p>Stateless and thread safe.
 */
final class VoterChanges {
    private VoterChanges() {}

    /** Whether at most one voter is added or removed, so that every old majority overlaps every new one. */
    static boolean isSingle(Voters from, Voters to) {
        Set<String> removed = new HashSet<>(from.getVotersList());
        Set<String> added = new HashSet<>(to.getVotersList());
        added.removeAll(removed);
        removed.removeAll(to.getVotersList());
        return added.size() + removed.size() <= 1 && to.getVotersCount() > 0;
    }
}
