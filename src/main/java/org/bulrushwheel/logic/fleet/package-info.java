/** Agreed state of the fleet: traffic configuration, evacuations and endpoints. */
@NullMarked
package org.bulrushwheel.logic.fleet;

import org.jspecify.annotations.NullMarked;
