/** Which entry instances a caller should use. */
@NullMarked
package org.bulrushwheel.logic.lookup;

import org.jspecify.annotations.NullMarked;
