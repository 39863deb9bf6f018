package org.bulrushwheel.logic.raft;

/** Role of a replica in its current term. */
public enum RaftRole {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
