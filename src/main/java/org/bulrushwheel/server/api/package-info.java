/** Small HTTP interface for calls that carry no callers' requests. */
@NullMarked
package org.bulrushwheel.server.api;

import org.jspecify.annotations.NullMarked;
