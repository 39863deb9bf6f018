package org.bulrushwheel.logic.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous (highest random weight) hashing: every instance computes the same order, and adding or removing a name
 * reassigns only the keys of that name.
 *
 * <p>Stateless and thread safe.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the name with the highest weight for the key. */
    public static Optional<String> best(String key, Collection<String> names) {
        return names.stream().max(order(key));
    }

    /** Returns the names in descending order of weight for the key. */
    public static List<String> ranked(String key, Collection<String> names) {
        return names.stream().sorted(order(key).reversed()).toList();
    }

    private static Comparator<String> order(String key) {
        return Comparator.comparingLong((String name) -> weight(key, name)).thenComparing(Comparator.naturalOrder());
    }

    private static long weight(String key, String name) {
        long hash = 0xcbf29ce484222325L;
        for (int index = 0; index < key.length(); index++) {
            hash = (hash ^ key.charAt(index)) * 0x100000001b3L;
        }
        hash = (hash ^ '\n') * 0x100000001b3L;
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 32);
    }
}
