package org.bulrushwheel.logic.raft;

/** What a replica is at the moment. */
public enum RaftRole {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
