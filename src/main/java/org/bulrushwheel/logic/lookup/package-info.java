/** Selection of the entry instances that a caller should use. */
@NullMarked
package org.bulrushwheel.logic.lookup;

import org.jspecify.annotations.NullMarked;
