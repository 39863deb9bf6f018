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
import org.bulrushwheel.model.proto.LoadNotice;
import org.bulrushwheel.model.proto.SeenLoad;
import org.bulrushwheel.wire.PeerNetwork;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs two control instances, each with one entry instance that reports to it. */
@Timeout(30)
class LoadRelayTest {
    private static final int CONTROLS = 2;

    private final MetricRegistry metrics = new MetricRegistry();
    private final List<String> names = LoopbackPorts.free(2 * CONTROLS).stream()
            .map(port -> "127.0.0.1:" + port)
            .toList();
    private final List<PeerNetwork> networks = new ArrayList<>();
    private final List<LoadRelay> relays = new ArrayList<>();
    private final List<BlockingQueue<LoadNotice>> receivedNotices = new ArrayList<>();

    LoadRelayTest() {
        names.forEach(name -> networks.add(new PeerNetwork(
                name, Address.parse(name), new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()), metrics)));
        for (int control = 0; control < CONTROLS; control++) {
            EntryDirectory directory = new EntryDirectory(new SystemTimeSource());
            directory.update(
                    EntryRecord.newBuilder()
                            .setPeerAddress(names.get(CONTROLS + control))
                            .build(),
                    true);
            String other = names.get(1 - control);
            relays.add(new LoadRelay(
                    directory, () -> List.of(other), networks.get(control), new SystemTimeSource(), metrics));
            BlockingQueue<LoadNotice> queue = new LinkedBlockingQueue<>();
            receivedNotices.add(queue);
            networks.get(CONTROLS + control)
                    .handle(Frame.BodyCase.LOAD_NOTICE, (frame, reply) -> queue.add(frame.getLoadNotice()));
        }
        networks.forEach(PeerNetwork::start);
    }

    @AfterEach
    void stop() {
        relays.forEach(LoadRelay::stop);
        networks.forEach(PeerNetwork::stop);
    }

    @Test
    void loadReachesTheEntryInstancesOfEveryControlInstanceOnce() throws InterruptedException {
        SeenLoad full = SeenLoad.newBuilder()
                .setEndpoint("e")
                .setRequests(9)
                .setAgeMillis(40)
                .build();
        networks.get(CONTROLS)
                .send(
                        names.get(0),
                        Frame.newBuilder().setLoadNotice(LoadNotice.newBuilder().addLoads(full)));
        for (BlockingQueue<LoadNotice> queue : receivedNotices) {
            LoadNotice notice = queue.poll(10, TimeUnit.SECONDS);
            assertEquals(1, notice.getLoadsCount());
            assertEquals(9, notice.getLoads(0).getRequests());
            assertTrue(notice.getLoads(0).getAgeMillis() >= 40, "the age of a load must not decrease on its way");
        }
        for (BlockingQueue<LoadNotice> queue : receivedNotices) {
            assertNull(
                    queue.poll(500, TimeUnit.MILLISECONDS),
                    "a forwarded notice must not be forwarded to another control instance");
        }
    }
}
