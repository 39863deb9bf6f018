package org.bulrushwheel.logic.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlotPoolTest {
    private static final Map<String, Integer> LIMITS = Map.of("e1", 4, "e2", 4, "e3", 3);

    @Test
    void slotsAreGrantedUpToTheLimit() {
        SlotPoolOwner owner = owner();
        SlotPoolHolder holder = new SlotPoolHolder("p", 0);
        exchange(owner, "h1", holder, 20, 0);

        assertEquals(11, holder.idle(0));
        assertEquals(0, owner.free());
    }

    @Test
    void slotsAreNotAcquiredAfterTheDeadline() {
        SlotPoolHolder holder = new SlotPoolHolder("p", 0);
        exchange(owner(), "h1", holder, 1, 0);

        assertTrue(acquire(holder, 999).isPresent());
        holder.release("e1");
        assertEquals(Optional.empty(), acquire(holder, 1_000));
    }

    @Test
    void waitingHolderGetsSlotsThatAnotherReturnsOnRecall() {
        SlotPoolOwner owner = owner();
        SlotPoolHolder first = new SlotPoolHolder("p", 0);
        SlotPoolHolder second = new SlotPoolHolder("p", 0);
        exchange(owner, "h1", first, 11, 0);
        Map<String, SlotGrant> grants = owner.onRequest("h2", false, second.request(2, 0, Set.of(), 1), 1);
        first.onGrant(grants.get("h1"), 1);
        assertTrue(first.isRecalled());

        Map<String, SlotGrant> after = owner.onRequest("h1", false, first.request(0, 0, Set.of(), 2), 2);
        second.onGrant(after.get("h2"), 2);
        assertEquals(2, second.idle(2));
    }

    @Test
    void slotsOfALeavingEndpointAreWithdrawn() {
        SlotPoolOwner owner = owner();
        SlotPoolHolder holder = new SlotPoolHolder("p", 0);
        exchange(owner, "h1", holder, 11, 0);
        owner.setLimits(Map.of("e1", 4, "e2", 4));
        holder.onGrant(owner.tick(10).get("h1"), 10);

        assertEquals(8, holder.idle(10));
    }

    @Test
    void holdersInOtherZonesDoNotGetReservedSlots() {
        SlotPoolOwner owner = owner();
        SlotPoolHolder remote = new SlotPoolHolder("p", 0);
        remote.onGrant(
                owner.onRequest("far", true, remote.request(20, 0, Set.of(), 0), 0)
                        .get("far"),
                0);

        assertEquals(10, remote.idle(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25})
    void heldSlotsNeverExceedTheLimit(long seed) {
        Schedule schedule = new Schedule(seed);
        schedule.run(20_000);
        assertTrue(schedule.acquired > 500, "only " + schedule.acquired + " slots were used");
    }

    /** Holders and an owner with delayed, lost and duplicate messages, pauses, restarts and clock drift. */
    private static final class Schedule {
        private static final int HOLDERS = 4;
        private final Random random;
        private final List<Actor> actors = new ArrayList<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
        private SlotPoolOwner owner = SlotPoolTest.owner();
        private long ownerReadyMillis;
        private long sequence;
        private int acquired;

        private record Event(long atMillis, long sequence, Runnable action) {}

        private static final class Actor {
            private SlotPoolHolder holder = new SlotPoolHolder("p", 0);
            private double clockRate = 1;
            private long pausedUntilMillis;
            private long epoch;
            private final Map<String, Integer> inUse = new TreeMap<>();

            private long local(long nowMillis) {
                return (long) (nowMillis * clockRate);
            }
        }

        private Schedule(long seed) {
            random = new Random(seed);
            for (int index = 0; index < HOLDERS; index++) {
                Actor actor = new Actor();
                actor.clockRate = 0.97 + random.nextDouble() * 0.06;
                actors.add(actor);
            }
        }

        private void run(long untilMillis) {
            for (long now = 0; now < untilMillis; now += 5) {
                while (!events.isEmpty() && events.peek().atMillis() <= now) {
                    events.poll().action().run();
                }
                maybeReplaceOwner(now);
                if (now >= ownerReadyMillis) {
                    send(owner.tick(now), now);
                }
                for (int index = 0; index < HOLDERS; index++) {
                    act(index, now);
                }
                check(now);
            }
        }

        private void act(int index, long now) {
            Actor actor = actors.get(index);
            if (now < actor.pausedUntilMillis) {
                return;
            }
            if (random.nextInt(2_000) == 0) {
                actor.pausedUntilMillis = now + 500 + random.nextInt(3_000);
                return;
            }
            if (random.nextInt(4_000) == 0) {
                actor.epoch += 1_000;
                actor.holder = new SlotPoolHolder("p", actor.epoch);
                actor.inUse.clear();
            }
            use(actor, now);
            if (random.nextInt(8) == 0) {
                SlotRequest request =
                        actor.holder.request(random.nextInt(6), random.nextInt(4), Set.of(), actor.local(now));
                deliver(now, () -> onRequest(index, request));
            }
        }

        private void use(Actor actor, long now) {
            if (random.nextInt(3) == 0) {
                acquire(actor.holder, actor.local(now)).ifPresent(endpoint -> {
                    actor.inUse.merge(endpoint, 1, Integer::sum);
                    acquired++;
                });
            }
            if (!actor.inUse.isEmpty() && random.nextInt(3) == 0) {
                String endpoint = actor.inUse.keySet().iterator().next();
                actor.inUse.computeIfPresent(endpoint, (name, count) -> count == 1 ? null : count - 1);
                actor.holder.release(endpoint);
            }
        }

        private void onRequest(int index, SlotRequest request) {
            long now = lastDeliveryMillis;
            if (now >= ownerReadyMillis) {
                send(owner.onRequest("h" + index, false, request, now), now);
            }
        }

        private long lastDeliveryMillis;

        private void send(Map<String, SlotGrant> grants, long now) {
            grants.forEach((holder, grant) -> deliver(now, () -> {
                Actor actor = actors.get(Integer.parseInt(holder.substring(1)));
                if (lastDeliveryMillis >= actor.pausedUntilMillis) {
                    actor.holder.onGrant(grant, actor.local(lastDeliveryMillis));
                } else {
                    events.add(new Event(
                            actor.pausedUntilMillis,
                            sequence++,
                            () -> actor.holder.onGrant(grant, actor.local(actor.pausedUntilMillis))));
                }
            }));
        }

        private void deliver(long now, Runnable action) {
            int copies = random.nextInt(20) == 0 ? 0 : random.nextInt(20) == 0 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                long at = now + 1 + random.nextInt(random.nextInt(50) == 0 ? 2_500 : 20);
                events.add(new Event(at, sequence++, () -> {
                    lastDeliveryMillis = at;
                    action.run();
                }));
            }
        }

        /** A new owner has no state and, as membership requires, waits until all earlier grants have expired. */
        private void maybeReplaceOwner(long now) {
            if (random.nextInt(1_000) == 0 && now >= ownerReadyMillis) {
                owner = SlotPoolTest.owner();
                ownerReadyMillis = now + 1_200;
                actors.forEach(actor -> actor.holder.resetSession());
            }
        }

        private void check(long now) {
            Map<String, Long> held = new HashMap<>();
            for (Actor actor : actors) {
                LIMITS.keySet()
                        .forEach(endpoint ->
                                held.merge(endpoint, actor.holder.held(endpoint, actor.local(now)), Long::sum));
            }
            held.forEach((endpoint, slots) ->
                    assertTrue(slots <= LIMITS.get(endpoint), endpoint + " has " + slots + " slots held at " + now));
        }
    }

    private static SlotPoolOwner owner() {
        SlotPoolOwner owner = new SlotPoolOwner("p", GrantTimings.SLOTS);
        owner.setLimits(LIMITS);
        return owner;
    }

    private static void exchange(SlotPoolOwner owner, String name, SlotPoolHolder holder, int wanted, long now) {
        holder.onGrant(
                owner.onRequest(name, false, holder.request(wanted, 0, Set.of(), now), now)
                        .get(name),
                now);
    }

    private static Optional<String> acquire(SlotPoolHolder holder, long now) {
        return holder.tryAcquire(Set.of(), Comparator.naturalOrder(), now);
    }
}
