package org.bulrushwheel.logic.lookup;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.logic.config.CidrPrefix;
import org.bulrushwheel.model.config.ClientBlock;

/**
 * Longest-prefix-match table from client addresses to zones.
 *
 * <p>Invariant: the ranges are sorted and disjoint; each holds the zone of the longest prefix that covers it. Immutable
 * and thread safe. It is stored in three parallel arrays, with 18 bytes for each range.
 */
public final class ClientBlockTable {
    private static final short NO_ZONE = -1;

    private final long[] startsHigh;
    private final long[] startsLow;
    private final short[] zoneOfRange;
    private final String[] zones;

    private ClientBlockTable(long[] startsHigh, long[] startsLow, short[] zoneOfRange, String[] zones) {
        this.startsHigh = startsHigh;
        this.startsLow = startsLow;
        this.zoneOfRange = zoneOfRange;
        this.zones = zones;
    }

    /** Builds the table. Skips blocks with an invalid prefix, which the configuration checker rejects beforehand. */
    public static ClientBlockTable of(List<ClientBlock> blocks) {
        return new ClientBlockTableBuilder(blocks).build();
    }

    static ClientBlockTable ofRanges(long[] startsHigh, long[] startsLow, short[] zoneOfRange, String[] zones) {
        return new ClientBlockTable(startsHigh, startsLow, zoneOfRange, zones);
    }

    /** Returns the zone of a literal address; empty when no block covers it. */
    public Optional<String> zoneOf(String address) {
        return CidrPrefix.parseAddress(address).map(AddressKey::of).flatMap(this::zoneOf);
    }

    private Optional<String> zoneOf(AddressKey key) {
        int low = 0;
        int high = startsHigh.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (AddressKey.compare(startsHigh[middle], startsLow[middle], key.high(), key.low()) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        boolean uncovered = high < 0 || zoneOfRange[high] == NO_ZONE;
        return uncovered ? Optional.empty() : Optional.of(zones[zoneOfRange[high]]);
    }

    /** Returns the number of ranges, including those without a zone. */
    public int ranges() {
        return startsHigh.length;
    }

    static String[] zonesOf(List<ClientBlock> blocks) {
        String[] zones = blocks.stream().map(ClientBlock::zone).distinct().toArray(String[]::new);
        Arrays.sort(zones, Comparator.naturalOrder());
        return zones;
    }
}
