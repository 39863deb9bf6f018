/** Distribution of the fleet state from control instances to entry instances. */
@NullMarked
package org.bulrushwheel.server.fleet;

import org.jspecify.annotations.NullMarked;
