package org.bulrushwheel.server.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.ReplicaPlace;

/**
 * Where the control instances stand that a control instance has heard of late, itself among them.
 *
 * <p>Thread safe.
 */
final class ReplicaPlaces {
    private static final long VALID_MILLIS = 2_000;

    private record Heard(ReplicaPlace place, long deadlineMillis) {}

    private final ReplicaPlace self;
    private final TimeSource time;
    private final Map<String, Heard> heardByAddress = new ConcurrentHashMap<>();

    ReplicaPlaces(ReplicaPlace self, TimeSource time) {
        this.self = self;
        this.time = time;
    }

    ReplicaPlace self() {
        return self;
    }

    void heard(ReplicaPlace place) {
        heardByAddress.put(place.getPeerAddress(), new Heard(place, time.monotonicMillis() + VALID_MILLIS));
    }

    /** Returns the place of a control instance; without zone and region when it was not heard of late. */
    ReplicaPlace of(String peerAddress) {
        if (peerAddress.equals(self.getPeerAddress())) {
            return self;
        }
        return Optional.ofNullable(heardByAddress.get(peerAddress))
                .filter(heard -> heard.deadlineMillis() > time.monotonicMillis())
                .map(Heard::place)
                .orElseGet(() ->
                        ReplicaPlace.newBuilder().setPeerAddress(peerAddress).build());
    }
}
