package org.bulrushwheel.server.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EntryRecord;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.PoisonNotice;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.wire.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Runs two control instances and an entry instance at each. */
@Timeout(30)
class PoisonRelayTest {
    private final List<String> names =
            LoopbackPorts.free(4).stream().map(port -> "127.0.0.1:" + port).toList();
    private final List<PeerNetwork> networks = new ArrayList<>();
    private final List<PoisonRelay> relays = new ArrayList<>();
    private final List<EntryDirectory> directories = new ArrayList<>();
    private final List<BlockingQueue<PoisonRecord>> received = new ArrayList<>();

    PoisonRelayTest() {
        names.forEach(name -> networks.add(new PeerNetwork(
                name,
                Address.parse(name),
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                new MetricRegistry())));
        for (int control = 0; control < 2; control++) {
            EntryDirectory directory = new EntryDirectory(new SystemTimeSource());
            directories.add(directory);
            String other = names.get(1 - control);
            relays.add(new PoisonRelay(directory, () -> List.of(other), networks.get(control), new SystemTimeSource()));
            BlockingQueue<PoisonRecord> queue = new LinkedBlockingQueue<>();
            received.add(queue);
            networks.get(2 + control)
                    .handle(
                            Frame.BodyCase.POISON_NOTICE,
                            (frame, reply) ->
                                    queue.addAll(frame.getPoisonNotice().getRecordsList()));
        }
        networks.forEach(PeerNetwork::start);
    }

    @AfterEach
    void stop() {
        networks.forEach(PeerNetwork::stop);
    }

    private void report(int entry) {
        directories
                .get(entry)
                .update(
                        EntryRecord.newBuilder()
                                .setPeerAddress(names.get(2 + entry))
                                .build(),
                        true);
    }

    /** Guards against a restarted entry instance that sends a request on which the others know to crash endpoints. */
    @ParameterizedTest
    @CsvSource({"0, false, 1", "1, false, 1", "1, true, 0"})
    void instanceThatStartsLaterIsToldOfSuspectRequests(int control, boolean exonerated, int expected)
            throws InterruptedException {
        report(0);
        PoisonRecord suspect = PoisonRecord.newBuilder()
                .setFingerprint("f")
                .addEndpoints("e1")
                .addEndpoints("e2")
                .setExonerated(exonerated)
                .setRemainingMillis(60_000)
                .build();
        // A third sender, so that the entry instance at the first control instance is told as well.
        networks.get(3)
                .send(
                        names.get(0),
                        Frame.newBuilder()
                                .setPoisonNotice(PoisonNotice.newBuilder().addRecords(suspect)));
        assertEquals("f", received.get(0).poll(10, TimeUnit.SECONDS).getFingerprint());
        TimeUnit.MILLISECONDS.sleep(500);
        assertNull(received.get(1).poll(), "nobody has reported there yet");

        received.get(0).clear();
        relays.get(control).sendSuspects(names.get(2 + control));
        PoisonRecord told = received.get(control).poll(expected == 0 ? 500 : 10_000, TimeUnit.MILLISECONDS);
        assertEquals(expected, told == null ? 0 : told.getEndpointsCount() - 1);
    }
}
