package org.bulrushwheel.control;

import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Voters;

/**
 * Tells the decision log what changes at a control replica.
 *
 * <p>Not thread safe: the control thread uses it.
 */
final class ReplicaNews {
    private static final String DISK = "disk";
    private static final String LEADER = "leader";

    private final DecisionSink decisions;
    private RaftRole lastRole = RaftRole.FOLLOWER;
    private boolean heardLeader;

    ReplicaNews(DecisionSink decisions) {
        this.decisions = decisions;
    }

    void joining(String replica) {
        decisions.record(Decision.of(DecisionKind.DEPENDENCY_REGAINED)
                .with(DecisionField.DEPENDENCY, DISK)
                .with(DecisionField.REASON, "the data folder is empty; joining as " + replica));
    }

    void diskFailed(String message) {
        decisions.record(Decision.of(DecisionKind.DEPENDENCY_LOST)
                .with(DecisionField.DEPENDENCY, DISK)
                .with(DecisionField.REASON, message)
                .asFailure());
    }

    void diskBack() {
        decisions.record(Decision.of(DecisionKind.DEPENDENCY_REGAINED).with(DecisionField.DEPENDENCY, DISK));
    }

    void voters(Voters voters) {
        decisions.record(Decision.of(DecisionKind.VOTERS_CHANGED)
                .with(DecisionField.VOTERS, voters.getVotersList() + " learning " + voters.getLearnersList()));
    }

    void accepted(long version, String actor) {
        decisions.record(Decision.of(DecisionKind.ORDER_DECIDED)
                .with(DecisionField.ORDER, "accept by " + actor)
                .with(DecisionField.OUTCOME, "accepted")
                .with(DecisionField.CONFIGURATION_VERSION, version));
    }

    /** Notes what the replica is now. */
    void status(RaftRole role, long term, String leader, boolean hearsLeader) {
        boolean settled = role == RaftRole.LEADER || lastRole == RaftRole.LEADER;
        if (role != lastRole && settled) {
            decisions.record(Decision.of(DecisionKind.ROLE_CHANGED)
                    .with(DecisionField.ROLE, role)
                    .with(DecisionField.TERM, term));
        }
        lastRole = role;
        if (hearsLeader != heardLeader) {
            heardLeader = hearsLeader;
            decisions.record(Decision.of(hearsLeader ? DecisionKind.DEPENDENCY_REGAINED : DecisionKind.DEPENDENCY_LOST)
                    .with(DecisionField.DEPENDENCY, LEADER + " " + leader)
                    .with(DecisionField.TERM, term));
        }
    }
}
