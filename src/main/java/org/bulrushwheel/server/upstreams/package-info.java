/** Announcements of upstream endpoints and the directory built from them. */
@NullMarked
package org.bulrushwheel.server.upstreams;

import org.jspecify.annotations.NullMarked;
