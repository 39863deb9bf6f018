package org.bulrushwheel.server.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.proto.ReplicaPlace;

/**
 * Zones and regions of the control instances from which a control instance has recently received a summary, including
 * itself.
 *
 * <p>Thread safe.
 */
final class ReplicaPlaces {
    private static final long VALID_MILLIS = 2_000;

    private record Registration(ReplicaPlace place, long deadlineMillis) {}

    private final ReplicaPlace self;
    private final TimeSource time;
    private final Map<String, Registration> registrationsByAddress = new ConcurrentHashMap<>();

    ReplicaPlaces(ReplicaPlace self, TimeSource time) {
        this.self = self;
        this.time = time;
    }

    ReplicaPlace self() {
        return self;
    }

    void update(ReplicaPlace place) {
        registrationsByAddress.put(
                place.getPeerAddress(), new Registration(place, time.monotonicMillis() + VALID_MILLIS));
    }

    /**
     * Returns the place of a control instance; zone and region are empty if no summary has been received from it
     * recently.
     */
    ReplicaPlace of(String peerAddress) {
        if (peerAddress.equals(self.getPeerAddress())) {
            return self;
        }
        return Optional.ofNullable(registrationsByAddress.get(peerAddress))
                .filter(registration -> registration.deadlineMillis() > time.monotonicMillis())
                .map(Registration::place)
                .orElseGet(() ->
                        ReplicaPlace.newBuilder().setPeerAddress(peerAddress).build());
    }
}
