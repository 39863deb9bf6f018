package org.bulrushwheel.logic.membership;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.bulrushwheel.model.proto.Heartbeat;
import org.bulrushwheel.model.proto.HeartbeatEcho;

/**
 * Heartbeat-based failure detector of one zone, with leases for key owners.
 *
 * <p>Invariant: while an instance holds its lease, no instance that receives its heartbeats considers it dead, provided
 * that clock drift stays below the difference between the lease duration and the death time-out. The lease of a paused
 * instance expires. Not thread safe.
 */
public final class ZoneMembership {
    private static final int MAX_TRACKED_HEARTBEATS = 64;

    private final String self;
    private final long incarnation;
    private final MembershipTimings timings;
    private final Map<String, Member> members = new TreeMap<>();
    private final TreeMap<Long, Long> sendMillisByCounter = new TreeMap<>();
    private long counter;
    private boolean leaving;
    private long stableSinceMillis;
    private Set<String> lastAlive;

    private static final class Member {
        private long incarnation;
        private long counter;
        private long lastHeartbeatMillis = Long.MIN_VALUE / 2;
        private long lastEchoedSendMillis = Long.MIN_VALUE / 2;
        private boolean leaving;
        private long configurationVersion;
    }

    /**
     * Creates a failure detector for a fixed set of members.
     *
     * @param self name of this instance
     * @param incarnation incarnation of this instance; increases with each start
     * @param others names of the other members of the zone
     * @param timings heartbeat, lease and failure time-outs
     * @param nowMillis current monotonic time
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

    /** Creates the next heartbeat; {@link #addressedTo} adds the echo for each recipient. */
    public Heartbeat heartbeat(long configurationVersion, long nowMillis) {
        updateStability(nowMillis);
        counter++;
        sendMillisByCounter.put(counter, nowMillis);
        if (sendMillisByCounter.size() > MAX_TRACKED_HEARTBEATS) {
            sendMillisByCounter.pollFirstEntry();
        }
        return Heartbeat.newBuilder()
                .setIncarnation(incarnation)
                .setCounter(counter)
                .setLeaving(leaving)
                .setConfigurationVersion(configurationVersion)
                .build();
    }

    /** Returns the heartbeat with an echo of the member's last heartbeat, if that member is considered alive. */
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

    /** Handles a heartbeat from another member; ignores outdated and duplicate ones. */
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
        member.lastHeartbeatMillis = nowMillis;
        Long lastEchoedSendMillis = heartbeat.getEcho().getIncarnation() == incarnation
                ? sendMillisByCounter.get(heartbeat.getEcho().getCounter())
                : null;
        if (lastEchoedSendMillis != null) {
            member.lastEchoedSendMillis = Math.max(member.lastEchoedSendMillis, lastEchoedSendMillis);
        }
        updateStability(nowMillis);
    }

    /** Marks this instance as leaving: from now on it owns no key, and new look-ups do not return it. */
    public void leave() {
        leaving = true;
    }

    /** Returns the current view. If all living members are leaving, they remain eligible as owners. */
    public MemberView view(long nowMillis) {
        Set<String> remainingMembers = new HashSet<>();
        Set<String> leavingMembers = new HashSet<>();
        Set<String> serving = new HashSet<>();
        (leaving ? leavingMembers : remainingMembers).add(self);
        if (!leaving) {
            serving.add(self);
        }
        members.forEach((name, member) -> {
            if (!isAlive(member, nowMillis)) {
                return;
            }
            (member.leaving ? leavingMembers : remainingMembers).add(name);
            if (!member.leaving && nowMillis - member.lastHeartbeatMillis < timings.suspectMillis()) {
                serving.add(name);
            }
        });
        return new MemberView(remainingMembers.isEmpty() ? leavingMembers : remainingMembers, serving);
    }

    /**
     * Whether this instance may act as an owner: it holds its lease, and the set of living members has been stable for long
     * enough that every grant of a previous owner has expired.
     */
    public boolean mayOwn(long nowMillis) {
        updateStability(nowMillis);
        return lastAlive.contains(self) && nowMillis - stableSinceMillis >= timings.takeoverMillis();
    }

    /** Restarts the stability period on a changed view or a missing lease; runs on every heartbeat to miss no change. */
    private void updateStability(long nowMillis) {
        Set<String> alive = view(nowMillis).alive();
        if (!alive.equals(lastAlive) || !holdsLease(nowMillis)) {
            lastAlive = alive;
            stableSinceMillis = nowMillis;
        }
    }

    /** Whether this instance holds its lease: every living member has echoed a recent heartbeat of it. */
    public boolean holdsLease(long nowMillis) {
        return members.values().stream()
                .filter(member -> isAlive(member, nowMillis))
                .allMatch(member -> nowMillis - member.lastEchoedSendMillis < timings.leaseMillis());
    }

    /** Returns the owner of a key among the living members, by rendezvous hashing. */
    public Optional<String> ownerOf(String key, long nowMillis) {
        return RendezvousHash.best(key, view(nowMillis).alive());
    }

    /** Whether the member is alive with this incarnation. */
    public boolean isAlive(String name, long memberIncarnation, long nowMillis) {
        if (name.equals(self)) {
            return memberIncarnation == incarnation;
        }
        Member member = members.get(name);
        return member != null && member.incarnation == memberIncarnation && isAlive(member, nowMillis);
    }

    /** Returns the last known incarnation of a member, or empty before its first heartbeat. */
    public Optional<Long> incarnationOf(String name) {
        if (name.equals(self)) {
            return Optional.of(incarnation);
        }
        return Optional.ofNullable(members.get(name))
                .map(member -> member.incarnation)
                .filter(known -> known > 0);
    }

    /** Returns the configuration version last reported by each living member. */
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
        return nowMillis - member.lastHeartbeatMillis < timings.deadMillis();
    }
}
