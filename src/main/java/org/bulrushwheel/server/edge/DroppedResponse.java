package org.bulrushwheel.server.edge;

import java.util.Optional;

/**
 * A response of an endpoint that was dropped.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason why it is not passed on
 * @param connection number of the connection, unique in this process
 * @param connectionRequests requests that the connection has carried
 * @param request ID of the last request that was sent on the connection
 * @param status status of the response; empty if it was not decoded
 * @param namedRequest ID that the response names
 * @param heldBytes bytes of memory that it occupied
 */
record DroppedResponse(
        DropReason reason,
        long connection,
        int connectionRequests,
        String request,
        Optional<Integer> status,
        Optional<String> namedRequest,
        long heldBytes) {}
