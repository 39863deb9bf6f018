package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.bulrushwheel.model.instance.Address;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertThrows;

/** What other tests rely on when a {@link ScriptedEndpoint} plays a crash. */
@Timeout(30)
class ScriptedEndpointTest {
    private static final int CRASHES = 500;

    /** Guards against a crash that looks survived, since a connection made right after it is accepted. */
    @Test
    void nothingListensOnceTheConnectionOfTheCrashIsReset() throws IOException {
        for (int crash = 0; crash < CRASHES; crash++) {
            try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, connection) -> connection.crash())) {
                try (Socket caller = connect(endpoint)) {
                    caller.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    InputStream input = caller.getInputStream();
                    assertThrows(IOException.class, input::read);
                }
                assertThrows(ConnectException.class, () -> connect(endpoint).close(), "crash " + crash);
            }
        }
    }

    private static Socket connect(ScriptedEndpoint endpoint) throws IOException {
        Address address = Address.parse(endpoint.address());
        return new Socket(address.host(), address.port());
    }
}
