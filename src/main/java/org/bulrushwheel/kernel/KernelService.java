package org.bulrushwheel.kernel;

/**
 * A part of the process with a life of its own.
 *
 * <p>The kernel calls {@link #start}, {@link #drain} and {@link #stop} from one thread, each at most once.
 */
public interface KernelService {
    /** Returns the name by which other services find it. */
    String name();

    /** Starts it; services that were registered before it run already. */
    void start();

    /** Ends its work in flight; returns once nothing is in flight or the deadline has passed. */
    default void drain(long deadlineNanos) {}

    /** Stops it; services that were registered after it have stopped already. */
    void stop();
}
