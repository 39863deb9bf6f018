package org.bulrushwheel.logic.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RateBudgetTest {
    private static final int HOLDERS = 24;
    private static final long CAP = 1_200;
    private static final long FLOOR = CAP / 2 / HOLDERS;
    private static final RateTimings TIMINGS = RateTimings.CAPS;

    @Test
    void unusedRateIsGrantedToAnotherHolder() {
        RateBudgetOwner owner = new RateBudgetOwner(TIMINGS);
        owner.setGrantablePerSecond(100);
        assertEquals(100, owner.request("a", 100, 0));
        assertEquals(0, owner.request("b", 100, 500));
        owner.request("a", 0, 1_000);
        assertEquals(50, owner.request("b", 50, 5_000));
    }

    @Test
    void holderWithoutConnectionKeepsItsFloor() {
        RateLimiter limiter = new RateLimiter(3);
        limiter.onGrant(10, 2_000);
        assertEquals(13, admitted(limiter, 1_000));
        assertEquals(3, admitted(limiter, 5_000));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void trafficOfAllInstancesStaysWithinTheCapInEverySecond(long seed) {
        Schedule schedule = new Schedule(seed);
        schedule.run(60_000);
        assertTrue(
                schedule.maxPerSecond > CAP * 3 / 4,
                "at most " + schedule.maxPerSecond + " events per second were admitted");
    }

    private static int admitted(RateLimiter limiter, long now) {
        int count = 0;
        while (limiter.tryAcquire(now)) {
            count++;
        }
        return count;
    }

    /** Instances with a moving load peak, clock drift, delayed and lost messages, disconnections and owner changes. */
    private static final class Schedule {
        private final Random random;
        private final List<RateLimiter> limiters = new ArrayList<>();
        private final double[] clockRate = new double[HOLDERS];
        private final long[] disconnectedUntilMillis = new long[HOLDERS];
        private final Deque<Long> admitted = new ArrayDeque<>();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
        private RateBudgetOwner owner = newOwner();
        private long ownerReadyMillis;
        private long sequence;
        private long maxPerSecond;

        private record Event(long atMillis, long sequence, Runnable action) {}

        private Schedule(long seed) {
            random = new Random(seed);
            for (int index = 0; index < HOLDERS; index++) {
                limiters.add(new RateLimiter(FLOOR));
                clockRate[index] = 0.98 + random.nextDouble() * 0.04;
            }
        }

        private static RateBudgetOwner newOwner() {
            RateBudgetOwner owner = new RateBudgetOwner(TIMINGS);
            owner.setGrantablePerSecond(CAP - FLOOR * HOLDERS);
            return owner;
        }

        private void run(long until) {
            for (long now = 0; now < until; now += 10) {
                while (!events.isEmpty() && events.peek().atMillis() <= now) {
                    events.poll().action().run();
                }
                if (random.nextInt(2_000) == 0) {
                    owner = newOwner();
                    ownerReadyMillis = now + TIMINGS.takeoverMillis();
                }
                for (int index = 0; index < HOLDERS; index++) {
                    act(index, now, until);
                }
            }
        }

        private void act(int index, long now, long until) {
            boolean peak = index / 4 == (int) (now * 6 / until);
            int attempts = peak ? 1 + random.nextInt(8) : random.nextInt(2);
            long local = (long) (now * clockRate[index]);
            for (int attempt = 0; attempt < attempts; attempt++) {
                if (limiters.get(index).tryAcquire(local)) {
                    count(now);
                }
            }
            if (random.nextInt(3_000) == 0) {
                disconnectedUntilMillis[index] = now + random.nextInt(10_000);
            }
            if (random.nextInt(50) == 0 && now >= disconnectedUntilMillis[index]) {
                sendRequest(index, now, local);
            }
        }

        private void sendRequest(int index, long now, long local) {
            long wanted = limiters.get(index).wantedPerSecond(local);
            long arrivalMillis = now + 1 + random.nextInt(40);
            events.add(new Event(arrivalMillis, sequence++, () -> {
                if (arrivalMillis < ownerReadyMillis) {
                    return;
                }
                long granted = owner.request("h" + index, wanted, arrivalMillis);
                long answeredMillis = arrivalMillis + 1 + random.nextInt(40);
                if (random.nextInt(20) != 0) {
                    events.add(new Event(answeredMillis, sequence++, () -> limiters.get(index)
                            .onGrant(granted, local + TIMINGS.validMillis())));
                }
            }));
        }

        private void count(long now) {
            admitted.add(now);
            while (admitted.peek() <= now - RateLimiter.WINDOW_MILLIS) {
                admitted.poll();
            }
            maxPerSecond = Math.max(maxPerSecond, admitted.size());
            assertTrue(admitted.size() <= CAP, admitted.size() + " events within one second at " + now);
        }
    }
}
