/** Capacity that is granted: owners give parts of a limit to holders until a deadline. */
@NullMarked
package org.bulrushwheel.logic.budget;

import org.jspecify.annotations.NullMarked;
