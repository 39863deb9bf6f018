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
import org.bulrushwheel.wire.PeerNetwork;

/**
 * Endpoints' announcements at a control instance.
 *
 * <p>Invariants: an announcement that changes anything is acknowledged only once a majority of control replicas has
 * synced it, so that it binds every entry instance in touch; one that changes nothing is acknowledged only while this
 * replica hears a leader. Thread safe: the state is read on the control thread.
 */
public final class EndpointRegistry implements KernelService {
    /** Name in the kernel. */
    public static final String NAME = "endpoint-registry";

    // Endpoints take a second without an answer for a failure and call the next instance.
    private static final long PROPOSAL_TIMEOUT_MILLIS = 3_000;
    private static final long REPORT_PAUSE_MILLIS = 500;

    private final ControlService control;
    private final ControlClient client;
    private final PeerNetwork peers;
    private final TimeSource time;
    private final ServiceTimer timer;
    private final EndpointLiveness liveness;
    private final DecisionSink decisions;
    private final Set<String> heardSinceReport = new HashSet<>();
    private boolean led;

    /**
     * A registry on a control instance.
     *
     * @param silentAfterMillis how long an endpoint may be silent
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
                        .forEach(id -> liveness.heard(id, time.monotonicMillis()))));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        timer.every(REPORT_PAUSE_MILLIS, () -> control.execute(this::report));
    }

    @Override
    public void stop() {
        timer.close();
    }

    /** Takes what an endpoint says of itself; completes with whether that is acknowledged. */
    public CompletionStage<Boolean> announce(EndpointRecord record) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        control.execute(state -> {
            heardSinceReport.add(record.getId());
            Optional<EndpointRecord> held = state.fleet().endpoint(record.getId());
            if (EndpointRecords.isNewer(record, held)) {
                propose(PutEndpoints.newBuilder().addEndpoints(record), answer, announced(record));
            } else {
                answer.complete(control.status().hearsLeader());
            }
        });
        return answer;
    }

    /**
     * Takes an endpoint's leave; completes with whether that is acknowledged. This replica may not have heard of the
     * endpoint yet, so the log decides unless the leave is known already.
     */
    public CompletionStage<Boolean> leave(EndpointLeave leave) {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        control.execute(state -> {
            boolean known = state.fleet()
                    .endpoint(leave.getId())
                    .filter(held -> held.getState() == State.LEFT && EndpointRecords.isOf(leave, held))
                    .isPresent();
            if (known) {
                answer.complete(control.status().hearsLeader());
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

    private static Decision announced(EndpointRecord record) {
        return Decision.of(DecisionKind.ENDPOINT_ANNOUNCED)
                .with(DecisionField.ENDPOINT, record.getId())
                .with(DecisionField.SERVICE, record.getService())
                .with(DecisionField.ZONE, record.getZone())
                .with(DecisionField.STATE, record.getState())
                .with(DecisionField.SEQUENCE, record.getSequence());
    }

    private void propose(PutEndpoints.Builder change, CompletableFuture<Boolean> answer, Decision decision) {
        Command command = Command.newBuilder().setPutEndpoints(change).build();
        client.propose(command, PROPOSAL_TIMEOUT_MILLIS).thenAccept(result -> {
            boolean done = result.getKind() == CommandResult.Kind.DONE;
            Decision decided = decision.with(DecisionField.OUTCOME, done ? "acknowledged" : "unknown");
            decisions.record(done ? decided : decided.asFailure());
            answer.complete(done);
        });
    }

    private void report(ControlState state) {
        ReplicaStatus status = control.status();
        boolean leads = status.role() == RaftRole.LEADER;
        if (leads && !led) {
            liveness.restart();
        }
        led = leads;
        if (leads) {
            heardSinceReport.forEach(id -> liveness.heard(id, time.monotonicMillis()));
            endSilent(state);
        } else if (!status.leader().isEmpty() && !heardSinceReport.isEmpty()) {
            peers.send(
                    status.leader(),
                    Frame.newBuilder()
                            .setEndpointsHeard(EndpointsHeard.newBuilder().addAllEndpoints(heardSinceReport)));
        }
        heardSinceReport.clear();
    }

    private void endSilent(ControlState state) {
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
                .ifPresent(held -> change.addEndpoints(held.toBuilder().setState(State.SILENT))));
        control.propose(Command.newBuilder().setPutEndpoints(change).build());
    }
}
