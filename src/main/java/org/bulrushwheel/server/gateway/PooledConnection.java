package org.bulrushwheel.server.gateway;

import io.undertow.client.ClientConnection;

/**
 * A connection to an endpoint, with the data that decides about its reuse.
 *
 * <p>Immutable; the underlying connection is used by one request at a time.
 *
 * @param connection underlying HTTP connection
 * @param source source of its bytes
 * @param address address of the endpoint
 * @param openedMillis monotonic time in milliseconds at which it was opened
 * @param reused whether an earlier request used it
 */
record PooledConnection(
        ClientConnection connection, GuardedSource source, String address, long openedMillis, boolean reused) {
    PooledConnection afterUse() {
        return new PooledConnection(connection, source, address, openedMillis, true);
    }
}
