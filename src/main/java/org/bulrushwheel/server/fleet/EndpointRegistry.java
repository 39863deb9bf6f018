package org.bulrushwheel.server.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.control.ReplicaStatus;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.kernel.ServiceTimer;
import org.bulrushwheel.logic.control.ControlState;
import org.bulrushwheel.logic.fleet.ColdTimes;
import org.bulrushwheel.logic.fleet.EndpointLiveness;
import org.bulrushwheel.logic.fleet.EndpointRecords;
import org.bulrushwheel.logic.raft.RaftRole;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.EndpointLeave;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.EndpointRecord.State;
import org.bulrushwheel.model.proto.EndpointsHeard;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.PutEndpoints;
import org.bulrushwheel.server.api.CallerPresence;
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Handles the announcements and leaves of endpoints on a control instance, and marks endpoints that stop announcing as
 * silent.
 *
 * <p>Invariants: an announcement that changes the state is acknowledged only after a majority of control replicas has
 * synced it to disk, so that it reaches every entry instance that is in contact with control; an announcement that
 * changes nothing is acknowledged only while this replica is up to date. Thread safe: the state is read
 * on the control thread.
 */
public final class EndpointRegistry implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "endpoint-registry";

    // An endpoint treats one second without a response as a failure and calls the next control instance.
    private static final long PROPOSAL_TIMEOUT_MILLIS = 3_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;

    private final ControlService control;
    private final ControlClient client;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final EndpointLiveness liveness;
    private final DecisionSink decisions;
    private final ColdTimes coldTimes = new ColdTimes();
    private final Set<String> announcedSinceReport = new HashSet<>();
    private boolean wasLeader;

    /**
     * Creates the registry of a control instance.
     *
     * @param silentAfterMillis time without an announcement after which an endpoint counts as silent, in milliseconds
     */
    public EndpointRegistry(
            ControlService control,
            ControlClient client,
            PeerNetwork peers,
            long silentAfterMillis,
            TimeSource time,
            MetricRegistry metrics,
            DecisionSink decisions) {
        this.decisions = decisions;
        this.control = control;
        this.client = client;
        this.peers = peers;
        this.time = time;
        this.timer = new ServiceTimer(NAME, metrics);
        this.liveness = new EndpointLiveness(silentAfterMillis);
        peers.handle(
                Frame.BodyCase.ENDPOINTS_HEARD,
                (frame, reply) -> control.execute(state -> frame.getEndpointsHeard()
                        .getEndpointsList()
                        .forEach(id -> liveness.recordAnnouncement(id, time.monotonicMillis()))));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(REPORT_INTERVAL_MILLIS, () -> control.execute(this::report));
    }

    @Override
    public void stop() {
        timer.close();
    }

    /**
     * Handles an announcement of an endpoint; completes with whether it is acknowledged. One that an endpoint has given up
     * does not show that it runs: it makes no endpoint ready that is silent, or may be so as far as this replica knows.
     */
    public CompletionStage<Boolean> announce(EndpointRecord record, CallerPresence caller) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        control.execute(state -> {
            if (!mayRevive(record, state)) {
                announce(record, state, answer);
                return;
            }
            caller.isWaiting().thenAccept(waiting -> {
                if (waiting) {
                    control.execute(later -> announce(record, later, answer));
                } else {
                    Decision decision = announcementDecision(record).with(DecisionField.REASON, "caller-left");
                    complete(answer, false, decision);
                }
            });
        });
        return answer;
    }

    private boolean mayRevive(EndpointRecord record, ControlState state) {
        boolean isSilent = state.fleet()
                .endpoint(record.getId())
                .filter(stored -> stored.getState() == State.SILENT)
                .isPresent();
        boolean isUpToDate = control.status().isUpToDate(time.monotonicMillis());
        return record.getState() == State.READY && (isSilent || !isUpToDate);
    }

    private void announce(EndpointRecord record, ControlState state, CompletableFuture<Boolean> answer) {
        announcedSinceReport.add(record.getId());
        Optional<EndpointRecord> stored = state.fleet().endpoint(record.getId());
        long nowMillis = time.monotonicMillis();
        boolean isKnown = stored.filter(current -> EndpointRecords.isRepeated(record, current))
                        .isPresent()
                && !coldTimes.isExtendedBy(record, nowMillis);
        if (EndpointRecords.isNewer(record, stored) && !isKnown) {
            answer.thenAccept(acknowledged -> {
                if (acknowledged) {
                    control.execute(ignored -> coldTimes.onAgreed(record, nowMillis));
                }
            });
            propose(PutEndpoints.newBuilder().addEndpoints(record), answer, announcementDecision(record));
        } else {
            answer.complete(control.status().isUpToDate(nowMillis));
        }
    }

    /**
     * Handles the leave of an endpoint; completes with whether it is acknowledged. The record of the endpoint may not
     * have reached this replica yet, so the leave is proposed to the log unless this replica already has it.
     */
    public CompletionStage<Boolean> leave(EndpointLeave leave) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        control.execute(state -> {
            boolean alreadyLeft = state.fleet()
                    .endpoint(leave.getId())
                    .filter(stored -> EndpointRecords.isRecorded(leave, stored))
                    .isPresent();
            if (alreadyLeft) {
                answer.complete(control.status().isUpToDate(time.monotonicMillis()));
            } else {
                propose(
                        PutEndpoints.newBuilder().addLeaves(leave),
                        answer,
                        Decision.of(DecisionKind.ENDPOINT_ANNOUNCED)
                                .with(DecisionField.ENDPOINT, leave.getId())
                                .with(DecisionField.STATE, State.LEFT));
            }
        });
        return answer;
    }

    private static Decision announcementDecision(EndpointRecord record) {
        return Decision.of(DecisionKind.ENDPOINT_ANNOUNCED)
                .with(DecisionField.ENDPOINT, record.getId())
                .with(DecisionField.SERVICE, record.getService())
                .with(DecisionField.ZONE, record.getZone())
                .with(DecisionField.STATE, record.getState())
                .with(DecisionField.SEQUENCE, record.getSequence());
    }

    private void propose(PutEndpoints.Builder change, CompletableFuture<Boolean> answer, Decision decision) {
        Command command = Command.newBuilder().setPutEndpoints(change).build();
        client.propose(command, PROPOSAL_TIMEOUT_MILLIS)
                .thenAccept(result -> complete(answer, result.getKind() == CommandResult.Kind.DONE, decision));
    }

    private void complete(CompletableFuture<Boolean> answer, boolean acknowledged, Decision decision) {
        Decision outcome = decision.with(DecisionField.OUTCOME, acknowledged ? "acknowledged" : "unknown");
        decisions.record(acknowledged ? outcome : outcome.asFailure());
        answer.complete(acknowledged);
    }

    private void report(ControlState state) {
        ReplicaStatus status = control.status();
        boolean isLeader = status.role() == RaftRole.LEADER;
        if (isLeader && !wasLeader) {
            liveness.restart();
        }
        wasLeader = isLeader;
        if (isLeader) {
            announcedSinceReport.forEach(id -> liveness.recordAnnouncement(id, time.monotonicMillis()));
            markSilent(state);
        } else if (!status.leader().isEmpty() && !announcedSinceReport.isEmpty()) {
            peers.send(
                    status.leader(),
                    Frame.newBuilder()
                            .setEndpointsHeard(EndpointsHeard.newBuilder().addAllEndpoints(announcedSinceReport)));
        }
        announcedSinceReport.clear();
    }

    private void markSilent(ControlState state) {
        List<String> ready = state.fleet().endpoints().stream()
                .filter(endpoint -> endpoint.getState() == State.READY)
                .map(EndpointRecord::getId)
                .toList();
        List<String> silent = liveness.silent(ready, time.monotonicMillis());
        if (silent.isEmpty()) {
            return;
        }
        decisions.record(Decision.of(DecisionKind.ENDPOINT_SILENT).with(DecisionField.ENDPOINTS, silent));
        PutEndpoints.Builder change = PutEndpoints.newBuilder();
        silent.forEach(id -> state.fleet()
                .endpoint(id)
                .ifPresent(stored -> change.addEndpoints(stored.toBuilder().setState(State.SILENT))));
        control.propose(Command.newBuilder().setPutEndpoints(change).build());
    }
}
