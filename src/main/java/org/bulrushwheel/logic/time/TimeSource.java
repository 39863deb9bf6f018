package org.bulrushwheel.logic.time;

/** Source of time, real or virtual. Implementations are thread safe. */
public interface TimeSource {
    /** Returns monotonic time in milliseconds since an arbitrary origin. */
    long monotonicMillis();

    /** Returns wall-clock time in milliseconds since the Unix epoch. */
    long epochMillis();
}
