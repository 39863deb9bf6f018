package org.bulrushwheel.logic.hash;

/**
 * Hash with identical values on all instances and in all releases.
 *
 * <p>Stateless and thread safe.
 */
public final class StableHash {
    private StableHash() {}

    /** Returns a uniformly distributed value in (0, 1) for a key and a name. */
    public static double unit(String key, String name) {
        long hash = mix(fold(fold(0xcbf29ce484222325L, key) * 31, name));
        return ((hash >>> 11) + 0.5) / (1L << 53);
    }

    /** Returns a uniformly distributed hash of a text. */
    public static long hash(String text) {
        return mix(fold(0xcbf29ce484222325L, text));
    }

    private static long fold(long seed, String text) {
        long hash = seed;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
