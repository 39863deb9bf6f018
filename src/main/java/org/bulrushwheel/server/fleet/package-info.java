/** Spreads the state of the fleet from control instances to entry instances. */
@NullMarked
package org.bulrushwheel.server.fleet;

import org.jspecify.annotations.NullMarked;
