package org.bulrushwheel.kernel;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Single-threaded scheduler for the periodic and delayed tasks of a service.
 *
 * <p>Invariant: a task that fails is counted and logged, and a periodic task keeps its schedule after a failure. Thread safe.
 */
public final class ServiceTimer implements AutoCloseable {
    private static final Logger LOGGER = LoggerFactory.getLogger(ServiceTimer.class);

    private final String service;
    private final MetricRegistry metrics;
    private final ScheduledExecutorService executor;

    /** Creates a timer whose thread is named after the service. */
    public ServiceTimer(String service, MetricRegistry metrics) {
        this.service = service;
        this.metrics = metrics;
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, service);
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs a task immediately and then repeatedly, with a fixed delay in milliseconds between runs. */
    public void every(long pauseMillis, Runnable work) {
        executor.scheduleWithFixedDelay(guarded(work), 0, pauseMillis, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once after a delay in milliseconds; does nothing but count the rejection if the timer is closed. */
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
                LOGGER.error("scheduled task of service={} failed", service, e);
            }
        };
    }
}
