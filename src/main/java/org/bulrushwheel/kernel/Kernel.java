package org.bulrushwheel.kernel;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the services of one process.
 *
 * <p>Invariant: services start in the order of registration and stop in reverse. Safe for use by many threads;
 * start and stop exclude each other.
 */
public final class Kernel {
    private static final Logger LOGGER = LoggerFactory.getLogger(Kernel.class);

    private final Map<String, KernelService> servicesByName = Collections.synchronizedMap(new LinkedHashMap<>());
    private final List<KernelService> started = new ArrayList<>();
    private final DecisionSink decisions;

    /** A kernel without services; start and end go to the decisions. */
    public Kernel(DecisionSink decisions) {
        this.decisions = decisions;
    }

    /** Adds a service; its name must be new. */
    public <T extends KernelService> T register(T service) {
        if (servicesByName.putIfAbsent(service.name(), service) != null) {
            throw new IllegalStateException("service " + service.name() + " is registered twice; rename one");
        }
        return service;
    }

    /** Finds a service that must be there. */
    public <T> T find(String name, Class<T> type) {
        KernelService service = servicesByName.get(name);
        if (service == null) {
            throw new IllegalStateException("service " + name + " is not registered; register it before its users");
        }
        return type.cast(service);
    }

    /** Starts every service; when one fails, those that run are stopped. */
    public synchronized void start() {
        for (KernelService service : List.copyOf(servicesByName.values())) {
            try {
                service.start();
                started.add(service);
            } catch (RuntimeException e) {
                stopStarted();
                throw e;
            }
        }
        decisions.record(Decision.of(DecisionKind.STARTED).with(DecisionField.SERVICES, servicesByName.keySet()));
    }

    /** Drains and then stops every service in reverse order. */
    public synchronized void stop(long drainDeadlineNanos) {
        decisions.record(Decision.of(DecisionKind.STOPPING));
        for (KernelService service : reversed()) {
            service.drain(drainDeadlineNanos);
        }
        stopStarted();
        decisions.record(Decision.of(DecisionKind.STOPPED));
    }

    private void stopStarted() {
        for (KernelService service : reversed()) {
            try {
                service.stop();
            } catch (RuntimeException e) {
                LOGGER.warn("service={} failed to stop", service.name(), e);
            }
        }
        started.clear();
    }

    private List<KernelService> reversed() {
        List<KernelService> reversed = new ArrayList<>(started);
        Collections.reverse(reversed);
        return reversed;
    }
}
