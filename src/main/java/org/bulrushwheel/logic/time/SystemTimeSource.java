package org.bulrushwheel.logic.time;

import java.util.concurrent.TimeUnit;

/**
 * Clocks of the machine.
 *
 * <p>Stateless and thread safe.
 */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long epochMillis() {
        return System.currentTimeMillis();
    }
}
