package org.bulrushwheel.logic.raft;

/**
 * Time settings of Raft.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeatMillis interval between a leader's heartbeats
 * @param electionTimeoutMillis minimum time without leader contact before an election; randomized up to twice as much
 */
public record RaftTimings(long heartbeatMillis, long electionTimeoutMillis) {
    /** Defaults for one-way network delays of up to 50 ms. */
    public static final RaftTimings DEFAULT = new RaftTimings(100, 600);
}
