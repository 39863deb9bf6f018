/** Replicated state of the fleet (traffic configuration, evacuations and endpoints) and its view on entry instances. */
@NullMarked
package org.bulrushwheel.logic.fleet;

import org.jspecify.annotations.NullMarked;
