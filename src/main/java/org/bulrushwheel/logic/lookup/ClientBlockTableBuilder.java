package org.bulrushwheel.logic.lookup;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.bulrushwheel.logic.config.CidrPrefix;
import org.bulrushwheel.model.config.ClientBlock;

/**
 * Flattens nested prefixes into disjoint ranges in one sweep over the sorted prefixes.
 *
 * <p>Not thread safe: use a new builder for each table.
 */
final class ClientBlockTableBuilder {
    private record Prefix(AddressKey start, AddressKey endExclusive, int bits, short zone) {
        boolean endsAtOrBefore(AddressKey key) {
            return !endExclusive.isZero() && endExclusive.compareTo(key) <= 0;
        }
    }

    private final List<ClientBlock> blocks;
    private final String[] zones;
    private final Deque<Prefix> open = new ArrayDeque<>();
    private long[] startsHigh;
    private long[] startsLow;
    private short[] zoneOfRange;
    private int size;

    ClientBlockTableBuilder(List<ClientBlock> blocks) {
        this.blocks = blocks;
        this.zones = ClientBlockTable.zonesOf(blocks);
        int maxRanges = 2 * blocks.size() + 1;
        this.startsHigh = new long[maxRanges];
        this.startsLow = new long[maxRanges];
        this.zoneOfRange = new short[maxRanges];
    }

    ClientBlockTable build() {
        for (Prefix prefix : sortedPrefixes()) {
            closeUpTo(prefix.start());
            add(prefix.start(), prefix.zone());
            open.push(prefix);
        }
        while (!open.isEmpty()) {
            closeTop();
        }
        return ClientBlockTable.ofRanges(
                Arrays.copyOf(startsHigh, size),
                Arrays.copyOf(startsLow, size),
                Arrays.copyOf(zoneOfRange, size),
                zones);
    }

    private List<Prefix> sortedPrefixes() {
        List<Prefix> prefixes = new ArrayList<>(blocks.size());
        for (ClientBlock block : blocks) {
            toPrefix(block).ifPresent(prefixes::add);
        }
        prefixes.sort(Comparator.comparing(Prefix::start).thenComparingInt(Prefix::bits));
        return prefixes;
    }

    private Optional<Prefix> toPrefix(ClientBlock block) {
        int slash = block.cidr().indexOf('/');
        short zone = (short) Arrays.binarySearch(zones, block.zone());
        return CidrPrefix.parse(block.cidr()).flatMap(cidr -> {
            int bits = cidr.isIpv6() ? cidr.lengthBits() : cidr.lengthBits() + AddressKey.IPV4_OFFSET_BITS;
            return CidrPrefix.parseAddress(block.cidr().substring(0, slash))
                    .map(AddressKey::of)
                    .map(key -> key.masked(bits))
                    .map(start -> new Prefix(start, start.endExclusive(bits), bits, zone));
        });
    }

    private void closeUpTo(AddressKey start) {
        while (!open.isEmpty() && open.peek().endsAtOrBefore(start)) {
            closeTop();
        }
    }

    private void closeTop() {
        Prefix closed = open.pop();
        if (!closed.endExclusive().isZero()) {
            add(closed.endExclusive(), open.isEmpty() ? (short) -1 : open.peek().zone());
        }
    }

    private void add(AddressKey start, short zone) {
        boolean sameStart = size > 0 && startsHigh[size - 1] == start.high() && startsLow[size - 1] == start.low();
        int position = sameStart ? size - 1 : size++;
        startsHigh[position] = start.high();
        startsLow[position] = start.low();
        zoneOfRange[position] = zone;
    }
}
