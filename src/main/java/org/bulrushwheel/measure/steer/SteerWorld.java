package org.bulrushwheel.measure.steer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Virtual time, endpoints and entry instances.
 *
 * <p>Not thread safe.
 */
final class SteerWorld {
    private record Event(long atMicros, long sequence, Runnable action) {}

    private final SteerDeployment deployment;
    private final Random random;
    private final List<SteerEndpoint> endpoints = new ArrayList<>();
    private final List<String> zoneOfEntry = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long sequence;

    SteerWorld(SteerDeployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
        List<String> zones = deployment.zones();
        for (int index = 0; index < deployment.endpoints(); index++) {
            endpoints.add(new SteerEndpoint("e" + index, zones.get(index % zones.size()), deployment.slots()));
        }
        zones.forEach(zone -> {
            for (int index = 0; index < deployment.entriesPerZone(); index++) {
                zoneOfEntry.add(zone);
            }
        });
    }

    SteerDeployment deployment() {
        return deployment;
    }

    Random random() {
        return random;
    }

    List<SteerEndpoint> endpoints() {
        return endpoints;
    }

    int entries() {
        return zoneOfEntry.size();
    }

    String zoneOf(int entry) {
        return zoneOfEntry.get(entry);
    }

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / 1_000;
    }

    void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, sequence++, action));
    }

    void runUntil(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
        nowMicros = untilMicros;
    }

    long exponentialMicros(double meanMicros) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanMicros);
    }
}
