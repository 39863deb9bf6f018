package org.bulrushwheel.logic.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An IP address prefix in CIDR notation.
 *
 * <p>Immutable and thread safe; the address bytes are not shared.
 */
public final class CidrPrefix {
    private static final Pattern PREFIX = Pattern.compile("[0-9a-fA-F.:]+/[0-9]{1,3}");
    private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}[.][0-9]{1,3}[.][0-9]{1,3}[.][0-9]{1,3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F.]*:[0-9a-fA-F.:]+");

    private final byte[] address;
    private final int lengthBits;

    private CidrPrefix(byte[] address, int lengthBits) {
        this.address = address;
        this.lengthBits = lengthBits;
    }

    /** Parses {@code address/bits}; empty when the text is not a prefix of a literal address. */
    public static Optional<CidrPrefix> parse(String text) {
        if (text == null || !PREFIX.matcher(text).matches()) {
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
        if (IPV4.matcher(text).matches()) {
            return parseIpv4(text);
        }
        if (!IPV6.matcher(text).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(text).getAddress());
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    private static Optional<byte[]> parseIpv4(String text) {
        byte[] address = new byte[4];
        int start = 0;
        for (int index = 0; index < address.length; index++) {
            int dot = index < 3 ? text.indexOf('.', start) : text.length();
            int value = Integer.parseInt(text, start, dot, 10);
            if (value > 255) {
                return Optional.empty();
            }
            address[index] = (byte) value;
            start = dot + 1;
        }
        return Optional.of(address);
    }

    /** Returns the bit of an address at this position, counted from the most significant bit. */
    public static int bitAt(byte[] address, int position) {
        return (address[position / Byte.SIZE] >> (Byte.SIZE - 1 - position % Byte.SIZE)) & 1;
    }

    /** Returns the bit of this prefix at this position, counted from the most significant bit. */
    public int bitAt(int position) {
        return bitAt(address, position);
    }

    /** Returns the prefix length in bits. */
    public int lengthBits() {
        return lengthBits;
    }

    /** Whether this is an IPv6 prefix. */
    public boolean isIpv6() {
        return address.length > 4;
    }

    /** Whether the address is of the same family and within the prefix. */
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
