/** Zone membership: failure detection by heartbeats, leases and key ownership. */
@NullMarked
package org.bulrushwheel.logic.membership;

import org.jspecify.annotations.NullMarked;
