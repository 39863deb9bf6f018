/** Announcements of upstreams. */
@NullMarked
package org.bulrushwheel.server.upstreams;

import org.jspecify.annotations.NullMarked;
