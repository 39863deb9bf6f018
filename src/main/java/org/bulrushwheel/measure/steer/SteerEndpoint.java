package org.bulrushwheel.measure.steer;

/**
 * Fake of an endpoint: runs a request when a slot is free and sheds it otherwise.
 *
 * <p>Not thread safe.
 */
final class SteerEndpoint {
    private final String name;
    private final String zone;
    private final int slots;
    private int running;
    private long reported;
    private boolean up = true;
    private long lastArrivalMicros = -1;

    SteerEndpoint(String name, String zone, int slots) {
        this.name = name;
        this.zone = zone;
        this.slots = slots;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    int slots() {
        return slots;
    }

    boolean isUp() {
        return up;
    }

    void lose() {
        up = false;
    }

    boolean tryRun(long nowMicros) {
        lastArrivalMicros = nowMicros;
        if (!up || running >= slots) {
            return false;
        }
        running++;
        return true;
    }

    void finish() {
        running--;
    }

    void report() {
        reported = running;
    }

    /** Load as last reported, which lags. */
    double reportedLoad() {
        return reported / (double) slots;
    }

    long lastArrivalMicros() {
        return lastArrivalMicros;
    }
}
