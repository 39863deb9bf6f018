package org.bulrushwheel.model.instance;

import java.net.InetSocketAddress;

/**
 * An IP address and a port.
 *
 * <p>Immutable and thread safe.
 *
 * @param host IP address
 * @param port TCP port
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks the port; 0 stands for any free port. */
    public Address {
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " does not exist; use one from 1 to " + MAX_PORT);
        }
    }

    /** Parses {@code host:port}. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not an address; write it as IP:PORT");
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the socket address. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
