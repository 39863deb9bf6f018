/** Choice of an endpoint for a request. */
@NullMarked
package org.bulrushwheel.logic.placement;

import org.jspecify.annotations.NullMarked;
