package org.bulrushwheel.logic.raft;

/**
 * Times of the replicated log.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeatMillis time between a leader's heartbeats
 * @param electionMillis least time without a leader before an election; up to twice as much by chance
 */
public record RaftTimings(long heartbeatMillis, long electionMillis) {
    /** Times that suit one-way delays up to 50 ms. */
    public static final RaftTimings DEFAULT = new RaftTimings(100, 600);
}
