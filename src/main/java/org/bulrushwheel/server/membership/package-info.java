/** Membership of the zone and what other zones tell of theirs. */
@NullMarked
package org.bulrushwheel.server.membership;

import org.jspecify.annotations.NullMarked;
