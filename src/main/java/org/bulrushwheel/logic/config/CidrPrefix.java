package org.bulrushwheel.logic.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * An address prefix.
 *
 * <p>Immutable and thread safe; the address bytes are not shared.
 */
public final class CidrPrefix {
    private final byte[] address;
    private final int lengthBits;

    private CidrPrefix(byte[] address, int lengthBits) {
        this.address = address;
        this.lengthBits = lengthBits;
    }

    /** Parses {@code address/bits}; none when the text is no prefix of a literal address. */
    public static Optional<CidrPrefix> parse(String text) {
        if (text == null || !text.matches("[0-9a-fA-F.:]+/[0-9]{1,3}")) {
            return Optional.empty();
        }
        int slash = text.indexOf('/');
        int bits = Integer.parseInt(text.substring(slash + 1));
        return parseAddress(text.substring(0, slash))
                .filter(bytes -> bits <= bytes.length * Byte.SIZE)
                .map(bytes -> new CidrPrefix(bytes, bits));
    }

    /** Parses a literal address into 4 or 16 bytes; host names are not looked up. */
    public static Optional<byte[]> parseAddress(String text) {
        if (!text.matches("[0-9a-fA-F.:]+") || !(text.contains(".") || text.contains(":"))) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(text).getAddress());
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Returns the bit at this position, counted from the most significant. */
    public static int bitAt(byte[] address, int position) {
        return (address[position / Byte.SIZE] >> (Byte.SIZE - 1 - position % Byte.SIZE)) & 1;
    }

    /** Returns the bits of the address, the most significant first. */
    public int bitAt(int position) {
        return bitAt(address, position);
    }

    /** Returns the number of significant bits. */
    public int lengthBits() {
        return lengthBits;
    }

    /** Whether the prefix is of an IPv6 address. */
    public boolean isIpv6() {
        return address.length > 4;
    }

    /** Whether the address has the same family and lies in the prefix. */
    public boolean contains(byte[] candidate) {
        if (candidate.length != address.length) {
            return false;
        }
        for (int bit = 0; bit < lengthBits; bit++) {
            if (bitAt(candidate, bit) != bitAt(bit)) {
                return false;
            }
        }
        return true;
    }
}
