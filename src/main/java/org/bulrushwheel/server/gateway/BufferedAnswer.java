package org.bulrushwheel.server.gateway;

import io.undertow.util.HeaderMap;

/**
 * An upstream's response with its buffered body. If the body was too large to buffer, it is empty and {@code complete} is
 * false.
 *
 * <p>Confined to the I/O thread of its exchange.
 *
 * @param status HTTP status
 * @param headers headers to send to the caller
 * @param body response body
 * @param complete whether the body was buffered completely
 */
record BufferedAnswer(int status, HeaderMap headers, byte[] body, boolean complete) {}
