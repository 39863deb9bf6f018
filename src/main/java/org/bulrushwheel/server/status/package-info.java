/** Metrics and status pages. */
@NullMarked
package org.bulrushwheel.server.status;

import org.jspecify.annotations.NullMarked;
