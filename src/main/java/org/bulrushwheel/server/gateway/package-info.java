/** The gateway: carries a caller's request to an upstream and the whole answer back. */
@NullMarked
package org.bulrushwheel.server.gateway;

import org.jspecify.annotations.NullMarked;
