package org.bulrushwheel.server.gateway;

/**
 * The wait of a request for a slot: one wait over all leases that it gives back because their endpoint has asked for no
 * more requests before the connection was open.
 *
 * <p>Invariant: it ends, by the time limits of {@link SlotSource} or after {@link #MAX_HELD_LEASES} such leases, also when
 * endpoints keep changing their mind. Immutable and thread safe.
 *
 * @param sinceMillis monotonic time in milliseconds from which the wait counts; later than its start by the time in which
 *     the request had a lease
 * @param heldLeases number of leases that it has given back
 */
record SlotWait(long sinceMillis, int heldLeases) {
    /** Number of leases after which the request is refused. */
    static final int MAX_HELD_LEASES = 16;

    /** Returns a wait that starts now: that of a new request, or after a failed attempt. */
    static SlotWait startingAt(long nowMillis) {
        return new SlotWait(nowMillis, 0);
    }

    /** Returns this wait after a lease has been given back that the request got at the given time. */
    SlotWait resumed(long leasedMillis, long nowMillis) {
        return new SlotWait(sinceMillis + nowMillis - leasedMillis, heldLeases + 1);
    }

    /** Whether the request may be placed anew. */
    boolean mayContinue() {
        return heldLeases < MAX_HELD_LEASES;
    }
}
