/** Forwards callers' requests to endpoints over HTTP/1.1, on one event loop. */
@NullMarked
package org.bulrushwheel.server.edge;

import org.jspecify.annotations.NullMarked;
