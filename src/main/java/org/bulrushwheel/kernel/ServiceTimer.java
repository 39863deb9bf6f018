package org.bulrushwheel.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that runs the regular work of a service.
 *
 * <p>Invariant: work that fails is counted and logged, and runs again at its next turn. Thread safe.
 */
public final class ServiceTimer implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ServiceTimer.class);

    private final String service;
    private final MetricRegistry metrics;
    private final ScheduledExecutorService executor;

    /** A timer whose thread is named after the service. */
    public ServiceTimer(String service, MetricRegistry metrics) {
        this.service = service;
        this.metrics = metrics;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, service);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs work now and then again and again, with this pause in milliseconds. */
    public void every(long pauseMillis, Runnable work) {
        executor.scheduleWithFixedDelay(guarded(work), 0, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs work once after a delay in milliseconds; not at all when the timer was closed. */
    public void after(long delayMillis, Runnable work) {
        try {
            executor.schedule(guarded(work), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            metrics.counter("timers.rejected").inc();
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                metrics.counter("timers.failed." + service).inc();
                LOGGER.error("regular work of service={} failed", service, e);
            }
        };
    }
}
