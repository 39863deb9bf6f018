package org.bulrushwheel.server.gateway;

import java.util.Optional;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import org.bulrushwheel.logic.response.JoinedHead;

/**
 * Tells whether a response belongs to an attempt.
 *
 * <p>Invariant: nothing is dropped that names the attempt, is final and consists of one head; nothing else is accepted on
 * a connection that has carried an earlier request. Immutable and thread safe.
 *
 * @param named whether the response names the attempt
 * @param dropReason why it cannot be the response to the attempt; empty if it is
 */
record ResponseIdentity(boolean named, Optional<DropReason> dropReason) {
    static ResponseIdentity of(ClientResponse response, String attemptId, boolean reusedConnection) {
        HeaderValues names = response.getResponseHeaders().get(GatewayHeaders.REQUEST_ID);
        boolean named = names != null && names.size() == 1 && names.getFirst().equals(attemptId);
        if (response.getResponseCode() < 200) {
            return new ResponseIdentity(named, Optional.of(DropReason.INFORMATIONAL));
        }
        if (!named && names != null) {
            return new ResponseIdentity(false, Optional.of(DropReason.OTHER_REQUEST));
        }
        if (!named && reusedConnection) {
            return new ResponseIdentity(false, Optional.of(DropReason.UNNAMED));
        }
        if (reusedConnection && isJoined(response)) {
            return new ResponseIdentity(named, Optional.of(DropReason.JOINED));
        }
        return new ResponseIdentity(named, Optional.empty());
    }

    private static boolean isJoined(ClientResponse response) {
        String reasonPhrase = response.getStatus();
        if (reasonPhrase != null && JoinedHead.isIn(reasonPhrase)) {
            return true;
        }
        for (HeaderValues values : response.getResponseHeaders()) {
            if (JoinedHead.isIn(values.getHeaderName().toString())
                    || values.stream().anyMatch(JoinedHead::isIn)) {
                return true;
            }
        }
        return false;
    }
}
