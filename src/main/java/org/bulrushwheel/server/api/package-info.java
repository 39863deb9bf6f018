/** HTTP server for the control, look-up, readiness and metrics interfaces, which do not carry requests to upstreams. */
@NullMarked
package org.bulrushwheel.server.api;

import org.jspecify.annotations.NullMarked;
