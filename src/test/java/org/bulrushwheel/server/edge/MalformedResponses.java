package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.bulrushwheel.logic.response.MalformedChunks;
import org.bulrushwheel.logic.response.MalformedHead;
import org.bulrushwheel.logic.response.MalformedShape;

/**
 * Script of endpoints: the first request of a line whose path ends with the name of a {@link MalformedShape} gets a
 * response of this shape, all others get a sound one.
 *
 * <p>Paths that end with {@code trailer} get a malformed trailer, those that end with {@code late} chunks that become
 * malformed some time after the response has begun. Thread safe.
 */
public final class MalformedResponses implements ScriptedEndpoint.Script {
    /** Time within which the connection of a malformed response has to be closed. */
    public static final int CLOSED_WITHIN_MILLIS = 5_000;

    private static final int PAUSE_MILLIS = 200;

    private final Map<String, AtomicInteger> receivedByLine = new ConcurrentHashMap<>();
    private final AtomicInteger closed = new AtomicInteger();

    /** Returns how many connections were closed in time after a malformed response. */
    public int closed() {
        return closed.get();
    }

    /** Returns how many requests have been received with a method and a path that ends like this one. */
    public int received(String method, String path) {
        return receivedByLine.entrySet().stream()
                .filter(each ->
                        each.getKey().startsWith(method + " ") && each.getKey().contains(path + " "))
                .mapToInt(each -> each.getValue().get())
                .sum();
    }

    @Override
    public void answer(ScriptedEndpoint.Received request, ScriptedEndpoint.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("Bulrushwheel-Request-Id");
        String path = request.line().split(" ")[1];
        String name = path.substring(path.lastIndexOf('/') + 1);
        int before = receivedByLine
                .computeIfAbsent(request.line(), line -> new AtomicInteger())
                .getAndIncrement();
        if (name.equals("sound") || before > 0) {
            connection.send(MalformedHead.soundResponse(id));
        } else if (name.equals("trailer")) {
            connection.send(MalformedChunks.chunkedHead(id) + "5\r\nwhole\r\n0\r\nNo te: sound\r\n\r\n");
        } else if (name.equals("late")) {
            connection.send(MalformedChunks.chunkedHead(id) + "5\r\nwhole\r\n");
            Thread.sleep(PAUSE_MILLIS);
            connection.send("1\r\nxyz\r\n0\r\n\r\n");
        } else {
            connection.send(MalformedShape.named(name).response(id));
            if (connection.isClosedWithin(CLOSED_WITHIN_MILLIS)) {
                closed.incrementAndGet();
            }
        }
    }
}
