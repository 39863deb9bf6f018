package org.bulrushwheel.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.logic.fleet.FleetState;
import org.bulrushwheel.logic.fleet.JsonTrafficCodec;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.model.decision.DecisionSink;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.ReadAnswer;
import org.bulrushwheel.model.proto.SetEvacuation;
import org.bulrushwheel.model.proto.TrafficDocument;
import org.bulrushwheel.server.fleet.FleetAdministration.Outcome;
import org.bulrushwheel.wire.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Sends orders to a leader whose state is in memory. */
@Timeout(30)
class FleetAdministrationTest {
    private static final String ZONE = "z";

    private final FleetState state = new FleetState();
    private final List<SetEvacuation> proposals = new ArrayList<>();
    private final PeerNetwork peers;
    private final FleetAdministration administration;

    FleetAdministrationTest() {
        String leader = "127.0.0.1:" + LoopbackPorts.free(1).get(0);
        MetricRegistry metrics = new MetricRegistry();
        peers = new PeerNetwork(
                leader, Address.parse(leader), new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), metrics);
        peers.handle(Frame.BodyCase.READ_REQUEST, (frame, reply) -> {
            ReadAnswer.Builder answer = ReadAnswer.newBuilder()
                    .setEvacuation(state.evacuation(frame.getReadRequest().getEvacuationZone()));
            reply.accept(Frame.newBuilder().setReadAnswer(answer));
        });
        peers.handle(Frame.BodyCase.PROPOSAL, (frame, reply) -> {
            SetEvacuation change = frame.getProposal().getCommand().getSetEvacuation();
            proposals.add(change);
            reply.accept(Frame.newBuilder().setCommandResult(state.setEvacuation(change)));
        });
        peers.start();
        administration = new FleetAdministration(
                new ControlClient(() -> List.of(leader), peers, new SystemTimeSource(), metrics),
                () -> CompletableFuture.completedFuture(TrafficDocument.getDefaultInstance()),
                new JsonTrafficCodec(),
                DecisionSink.NONE);
    }

    @AfterEach
    void stop() {
        peers.stop();
    }

    private void evacuate(boolean active) {
        state.setEvacuation(
                SetEvacuation.newBuilder().setZone(ZONE).setActive(active).build());
    }

    /**
     * Guards against an end of an evacuation that a control instance carries out after it was frozen: its operator may
     * have left, or may leave between the read and the proposal, and has ended and started the evacuation elsewhere.
     */
    @ParameterizedTest
    @CsvSource({
        "true, false, ACCEPTED, false, 1",
        "false, false, UNKNOWN, true, 0",
        "false, true, UNKNOWN, true, 0",
        "true, true, UNKNOWN, true, 1"
    })
    void orderThatItsOperatorHasGivenUpDoesNotUndoANewerOne(
            boolean operatorWaits,
            boolean orderedElsewhere,
            Outcome expectedOutcome,
            boolean expectedActive,
            int expectedProposals)
            throws Exception {
        evacuate(true);
        Outcome outcome = administration
                .setEvacuation(ZONE, false, () -> {
                    if (orderedElsewhere) {
                        evacuate(false);
                        evacuate(true);
                    }
                    return CompletableFuture.completedFuture(operatorWaits);
                })
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        assertEquals(expectedOutcome, outcome);
        assertEquals(expectedActive, state.evacuation(ZONE).getActive());
        assertEquals(expectedProposals, proposals.size());
    }
}
