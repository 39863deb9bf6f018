package org.bulrushwheel.server.edge;

/**
 * Failure to open a connection; nothing was sent.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason what failed
 * @param blamesEndpoint whether it speaks against the endpoint, and not against this instance's own link
 */
record ConnectFailure(String reason, boolean blamesEndpoint) {}
