/** Time as decisions see it. */
@NullMarked
package org.bulrushwheel.logic.time;

import org.jspecify.annotations.NullMarked;
