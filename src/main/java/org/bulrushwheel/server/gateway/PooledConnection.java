package org.bulrushwheel.server.gateway;

import io.undertow.client.ClientConnection;

/**
 * A connection to an endpoint.
 *
 * <p>Immutable; the connection itself is used by one request at a time.
 *
 * @param connection the connection
 * @param address address of the endpoint
 * @param openedMillis monotonic time of its opening
 * @param reused whether an earlier request has used it
 */
record PooledConnection(ClientConnection connection, String address, long openedMillis, boolean reused) {
    PooledConnection afterUse() {
        return new PooledConnection(connection, address, openedMillis, true);
    }
}
