/** Membership of the zone and the summaries of the other zones. */
@NullMarked
package org.bulrushwheel.server.membership;

import org.jspecify.annotations.NullMarked;
