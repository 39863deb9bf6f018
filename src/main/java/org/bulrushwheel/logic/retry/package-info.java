/** When a request may be sent again. */
@NullMarked
package org.bulrushwheel.logic.retry;

import org.jspecify.annotations.NullMarked;
