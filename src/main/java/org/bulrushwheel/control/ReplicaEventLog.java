package org.bulrushwheel.control;

import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Voters;

/**
 * Records role, voter, leader contact and storage changes of a control replica in the decision log.
 *
 * <p>Not thread safe: owned by the control thread.
 */
final class ReplicaEventLog {
    private static final String DISK = "disk";
    private static final String LEADER = "leader";

    private final DecisionSink decisions;
    private RaftRole lastRole = RaftRole.FOLLOWER;
    private boolean hadLeaderContact;

    ReplicaEventLog(DecisionSink decisions) {
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

    void diskRecovered() {
        decisions.record(Decision.of(DecisionKind.DEPENDENCY_REGAINED).with(DecisionField.DEPENDENCY, DISK));
    }

    void diskStalled(long stalledMillis) {
        decisions.record(Decision.of(DecisionKind.STALLED)
                .with(DecisionField.DEPENDENCY, DISK)
                .with(DecisionField.STALLED_MILLIS, stalledMillis));
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

    /** Records changes of leadership and leader contact since the previous call. */
    void status(RaftRole role, long term, String leader, boolean hasLeaderContact) {
        boolean leaderRoleInvolved = role == RaftRole.LEADER || lastRole == RaftRole.LEADER;
        if (role != lastRole && leaderRoleInvolved) {
            decisions.record(Decision.of(DecisionKind.ROLE_CHANGED)
                    .with(DecisionField.ROLE, role)
                    .with(DecisionField.TERM, term));
        }
        lastRole = role;
        if (hasLeaderContact != hadLeaderContact) {
            hadLeaderContact = hasLeaderContact;
            decisions.record(
                    Decision.of(hasLeaderContact ? DecisionKind.DEPENDENCY_REGAINED : DecisionKind.DEPENDENCY_LOST)
                            .with(DecisionField.DEPENDENCY, LEADER + " " + leader)
                            .with(DecisionField.TERM, term));
        }
    }
}
