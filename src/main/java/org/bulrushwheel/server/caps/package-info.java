/** Shift caps over all instances together. */
@NullMarked
package org.bulrushwheel.server.caps;

import org.jspecify.annotations.NullMarked;
