/** Puts the services of one process together. */
@NullMarked
package org.bulrushwheel.daemon;

import org.jspecify.annotations.NullMarked;
