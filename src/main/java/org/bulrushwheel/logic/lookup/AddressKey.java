package org.bulrushwheel.logic.lookup;

import java.nio.ByteBuffer;

/**
 * An IP address as 128 bits; IPv4 addresses take the IPv4-mapped form of RFC 4291.
 *
 * <p>Immutable and thread safe.
 *
 * @param high upper 64 bits, unsigned
 * @param low lower 64 bits, unsigned
 */
record AddressKey(long high, long low) implements Comparable<AddressKey> {
    static final int BITS = 128;
    static final int IPV4_OFFSET_BITS = 96;
    private static final long IPV4_MAPPED = 0xffff_0000_0000L;
    private static final int IPV4_BYTES = 4;

    static AddressKey of(byte[] address) {
        ByteBuffer buffer = ByteBuffer.wrap(address);
        if (address.length == IPV4_BYTES) {
            return new AddressKey(0, IPV4_MAPPED | Integer.toUnsignedLong(buffer.getInt()));
        }
        return new AddressKey(buffer.getLong(), buffer.getLong());
    }

    static int compare(long leftHigh, long leftLow, long rightHigh, long rightLow) {
        int high = Long.compareUnsigned(leftHigh, rightHigh);
        return high != 0 ? high : Long.compareUnsigned(leftLow, rightLow);
    }

    /** Returns the first address of the prefix with this length. */
    AddressKey masked(int prefixBits) {
        if (prefixBits >= Long.SIZE) {
            int lowBits = prefixBits - Long.SIZE;
            return new AddressKey(high, lowBits == 0 ? 0 : low & (-1L << (Long.SIZE - lowBits)));
        }
        return new AddressKey(prefixBits == 0 ? 0 : high & (-1L << (Long.SIZE - prefixBits)), 0);
    }

    /** Returns the first address after the prefix with this length; zero when the prefix contains the last address. */
    AddressKey endExclusive(int prefixBits) {
        if (prefixBits > Long.SIZE) {
            long step = 1L << (BITS - prefixBits);
            long nextLow = low + step;
            return new AddressKey(Long.compareUnsigned(nextLow, low) < 0 ? high + 1 : high, nextLow);
        }
        return new AddressKey(prefixBits == 0 ? 0 : high + (1L << (Long.SIZE - prefixBits)), 0);
    }

    boolean isZero() {
        return high == 0 && low == 0;
    }

    @Override
    public int compareTo(AddressKey other) {
        return compare(high, low, other.high, other.low);
    }
}
