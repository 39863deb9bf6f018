package org.bulrushwheel.kernel;

/**
 * A component of the process with its own lifecycle.
 *
 * <p>The kernel calls {@link #start}, {@link #drain} and {@link #stop} from one thread, each at most once.
 */
public interface KernelService {
    /** Returns the name by which other services look it up in the kernel. */
    String name();

    /** Starts the service; all services registered before it are already running. */
    void start();

    /** Completes in-flight work; returns once nothing is in flight or the deadline has passed. */
    default void drain(long deadlineNanos) {}

    /** Stops the service; all services registered after it have already been stopped. */
    void stop();
}
