package org.bulrushwheel.logic.membership;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.bulrushwheel.model.proto.Heartbeat;
import org.bulrushwheel.model.proto.HeartbeatEcho;

/**
 * Failure detector of one zone with leases for its owners.
 *
 * <p>Invariant: while an instance holds its lease, no instance that hears it counts it as dead, as long as their clocks
 * run alike to within the difference between lease and death. An instance that was paused finds its lease lapsed. Not
 * thread safe.
 */
public final class ZoneMembership {
    private static final int SENT_KEPT = 64;

    private final String self;
    private final long incarnation;
    private final MembershipTimings timings;
    private final Map<String, Member> members = new TreeMap<>();
    private final TreeMap<Long, Long> sentMillisByCounter = new TreeMap<>();
    private long counter;
    private boolean leaving;
    private long stableSinceMillis;
    private Set<String> lastAlive;

    private static final class Member {
        private long incarnation;
        private long counter;
        private long heardMillis = Long.MIN_VALUE / 2;
        private long echoedSentMillis = Long.MIN_VALUE / 2;
        private boolean leaving;
        private long configurationVersion;
    }

    /**
     * A detector that knows the other members by name.
     *
     * @param self name of this instance
     * @param incarnation grows with each start of this instance
     * @param others names of the other members of the zone
     * @param timings times
     * @param nowMillis monotonic time
     */
    public ZoneMembership(
            String self, long incarnation, Set<String> others, MembershipTimings timings, long nowMillis) {
        this.self = self;
        this.incarnation = incarnation;
        this.timings = timings;
        this.stableSinceMillis = nowMillis;
        others.forEach(name -> members.put(name, new Member()));
        this.lastAlive = view(nowMillis).alive();
    }

    /** Makes the next heartbeat; {@link #addressedTo} completes it for each member. */
    public Heartbeat heartbeat(long configurationVersion, long nowMillis) {
        observe(nowMillis);
        counter++;
        sentMillisByCounter.put(counter, nowMillis);
        if (sentMillisByCounter.size() > SENT_KEPT) {
            sentMillisByCounter.pollFirstEntry();
        }
        return Heartbeat.newBuilder()
                .setIncarnation(incarnation)
                .setCounter(counter)
                .setLeaving(leaving)
                .setConfigurationVersion(configurationVersion)
                .build();
    }

    /** Returns the heartbeat with the echo for one member, while that one counts as alive. */
    public Heartbeat addressedTo(String name, Heartbeat heartbeat, long nowMillis) {
        Member member = members.get(name);
        if (member == null || !isAlive(member, nowMillis)) {
            return heartbeat;
        }
        return heartbeat.toBuilder()
                .setEcho(HeartbeatEcho.newBuilder()
                        .setIncarnation(member.incarnation)
                        .setCounter(member.counter))
                .build();
    }

    /** Takes a heartbeat of another member; an older one changes nothing. */
    public void onHeartbeat(String from, Heartbeat heartbeat, long nowMillis) {
        Member member = members.get(from);
        if (member == null || heartbeat.getIncarnation() < member.incarnation) {
            return;
        }
        boolean newer = heartbeat.getIncarnation() > member.incarnation || heartbeat.getCounter() > member.counter;
        if (!newer) {
            return;
        }
        member.incarnation = heartbeat.getIncarnation();
        member.counter = heartbeat.getCounter();
        member.leaving = heartbeat.getLeaving();
        member.configurationVersion = heartbeat.getConfigurationVersion();
        member.heardMillis = nowMillis;
        Long echoedSentMillis = heartbeat.getEcho().getIncarnation() == incarnation
                ? sentMillisByCounter.get(heartbeat.getEcho().getCounter())
                : null;
        if (echoedSentMillis != null) {
            member.echoedSentMillis = Math.max(member.echoedSentMillis, echoedSentMillis);
        }
        observe(nowMillis);
    }

    /** Says that this instance leaves: it owns nothing from now on and is named in no new look-up. */
    public void leave() {
        leaving = true;
    }

    /** Returns what is known now. While every living member leaves, those that leave still own. */
    public MemberView view(long nowMillis) {
        Set<String> staying = new HashSet<>();
        Set<String> leavers = new HashSet<>();
        Set<String> serving = new HashSet<>();
        (leaving ? leavers : staying).add(self);
        if (!leaving) {
            serving.add(self);
        }
        members.forEach((name, member) -> {
            if (!isAlive(member, nowMillis)) {
                return;
            }
            (member.leaving ? leavers : staying).add(name);
            if (!member.leaving && nowMillis - member.heardMillis < timings.suspectMillis()) {
                serving.add(name);
            }
        });
        return new MemberView(staying.isEmpty() ? leavers : staying, serving);
    }

    /**
     * Whether this instance may act as an owner: its lease holds, and the living members have been the same for so long
     * that every grant of an owner before it has ended.
     */
    public boolean mayOwn(long nowMillis) {
        observe(nowMillis);
        return lastAlive.contains(self) && nowMillis - stableSinceMillis >= timings.takeoverMillis();
    }

    /** Notes whether anything has changed; runs with every message, so that no change between two questions is missed. */
    private void observe(long nowMillis) {
        Set<String> alive = view(nowMillis).alive();
        if (!alive.equals(lastAlive) || !holdsLease(nowMillis)) {
            lastAlive = alive;
            stableSinceMillis = nowMillis;
        }
    }

    /** Whether every living member has echoed a recent heartbeat of this instance. */
    public boolean holdsLease(long nowMillis) {
        return members.values().stream()
                .filter(member -> isAlive(member, nowMillis))
                .allMatch(member -> nowMillis - member.echoedSentMillis < timings.leaseMillis());
    }

    /** Returns the owner of a key among the living members, by rendezvous hashing. */
    public Optional<String> ownerOf(String key, long nowMillis) {
        return RendezvousHash.best(key, view(nowMillis).alive());
    }

    /** Whether this incarnation of a member of the zone is alive. */
    public boolean isAlive(String name, long memberIncarnation, long nowMillis) {
        if (name.equals(self)) {
            return memberIncarnation == incarnation;
        }
        Member member = members.get(name);
        return member != null && member.incarnation == memberIncarnation && isAlive(member, nowMillis);
    }

    /** Returns the incarnation of a member as last heard; none before the first heartbeat. */
    public Optional<Long> incarnationOf(String name) {
        if (name.equals(self)) {
            return Optional.of(incarnation);
        }
        return Optional.ofNullable(members.get(name))
                .map(member -> member.incarnation)
                .filter(heard -> heard > 0);
    }

    /** Returns the configuration version that each living member reported. */
    public Map<String, Long> configurationVersions(long nowMillis) {
        Map<String, Long> versions = new TreeMap<>();
        members.forEach((name, member) -> {
            if (isAlive(member, nowMillis)) {
                versions.put(name, member.configurationVersion);
            }
        });
        return versions;
    }

    private boolean isAlive(Member member, long nowMillis) {
        return nowMillis - member.heardMillis < timings.deadMillis();
    }
}
