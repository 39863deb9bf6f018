package org.bulrushwheel.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on the loopback interface.
 *
 * <p>Stateless and thread safe.
 */
public final class LoopbackPorts {
    private LoopbackPorts() {}

    /** Returns distinct ports that were free at the time of the call; another process may take them before they are used. */
    public static List<Integer> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } catch (IOException e) {
            throw new IllegalStateException("no free port on loopback; end processes that occupy ports", e);
        } finally {
            sockets.forEach(LoopbackPorts::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException("cannot close a socket that was opened to find a free port", e);
        }
    }
}
