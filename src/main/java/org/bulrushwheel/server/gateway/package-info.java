/** The gateway: forwards callers' requests to upstreams and returns the responses. */
@NullMarked
package org.bulrushwheel.server.gateway;

import org.jspecify.annotations.NullMarked;
