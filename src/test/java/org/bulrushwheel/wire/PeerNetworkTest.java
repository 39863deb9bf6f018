package org.bulrushwheel.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

@Timeout(30)
class PeerNetworkTest {
    private final PeerNetwork peers = new PeerNetwork(
            "self",
            new Address("127.0.0.1", LoopbackPorts.free(1).get(0)),
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
            new MetricRegistry());

    @AfterEach
    void close() {
        peers.stop();
    }

    /** Guards against frames that count as on their way after their connection was lost. */
    @Test
    void connectionThatReplacesALostOneHasAnotherNumber() throws IOException {
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String name = "127.0.0.1:" + peer.getLocalPort();
            assertEquals(PeerNetwork.NO_CONNECTION, peers.connection(name));
            send(name);
            long first = peers.connection(name);
            assertNotEquals(PeerNetwork.NO_CONNECTION, first);
            Socket accepted = peer.accept();
            assertTrue(accepted.getInputStream().read() >= 0);
            assertEquals(first, peers.connection(name));
            accepted.close();
            assertTrue(LocalDeployment.await(
                    () -> peers.connection(name) == PeerNetwork.NO_CONNECTION,
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(10)));
            send(name);
            peer.accept().close();
            assertTrue(peers.connection(name) != first);
        }
    }

    private void send(String name) {
        peers.send(name, Frame.newBuilder().setFleetUpdate(FleetUpdate.getDefaultInstance()));
    }
}
