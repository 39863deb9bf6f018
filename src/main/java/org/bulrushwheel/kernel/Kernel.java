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
 * Manages the lifecycle of the services of one process.
 *
 * <p>Invariant: services start in the order of registration and stop in reverse. Thread safe; start and stop
 * are mutually exclusive.
 */
public final class Kernel {
    private static final Logger LOGGER = LoggerFactory.getLogger(Kernel.class);

    private final Map<String, KernelService> servicesByName = Collections.synchronizedMap(new LinkedHashMap<>());
    private final List<KernelService> started = new ArrayList<>();
    private final DecisionSink decisions;

    /** Creates a kernel without services; its start and stop are recorded in the decision sink. */
    public Kernel(DecisionSink decisions) {
        this.decisions = decisions;
    }

    /** Registers a service; throws {@link IllegalStateException} if its name is already registered. */
    public <T extends KernelService> T register(T service) {
        if (servicesByName.putIfAbsent(service.name(), service) != null) {
            throw new IllegalStateException(
                    "service " + service.name() + " is already registered; service names must be unique");
        }
        return service;
    }

    /** Returns a registered service; throws {@link IllegalStateException} if there is none of this name. */
    public <T> T find(String name, Class<T> type) {
        KernelService service = servicesByName.get(name);
        if (service == null) {
            throw new IllegalStateException(
                    "service " + name + " is not registered; register it before the services that depend on it");
        }
        return type.cast(service);
    }

    /** Starts all services; if one fails, stops those already started and rethrows the exception. */
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

    /** Drains all services and then stops them, both in reverse order of their start. */
    public synchronized void stop(long drainDeadlineNanos) {
        decisions.record(Decision.of(DecisionKind.STOPPING));
        for (KernelService service : stopOrder()) {
            try {
                service.drain(drainDeadlineNanos);
            } catch (RuntimeException e) {
                LOGGER.warn("service={} failed to drain", service.name(), e);
            }
        }
        stopStarted();
        decisions.record(Decision.of(DecisionKind.STOPPED));
    }

    private void stopStarted() {
        for (KernelService service : stopOrder()) {
            try {
                service.stop();
            } catch (RuntimeException e) {
                LOGGER.warn("service={} failed to stop", service.name(), e);
            }
        }
        started.clear();
    }

    private List<KernelService> stopOrder() {
        List<KernelService> stopOrder = new ArrayList<>(started);
        Collections.reverse(stopOrder);
        return stopOrder;
    }
}
