package org.bulrushwheel.server.gateway;

import io.undertow.util.HeaderMap;

/**
 * An upstream's answer with its whole body; the body is empty and {@code complete} false when it was too large to keep.
 *
 * <p>Confined to the I/O thread of its exchange.
 *
 * @param status HTTP status
 * @param headers headers that go to the caller
 * @param body body
 * @param complete whether the body is all here
 */
record BufferedAnswer(int status, HeaderMap headers, byte[] body, boolean complete) {}
