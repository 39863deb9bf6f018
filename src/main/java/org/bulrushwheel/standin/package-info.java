/** Stand-in for an upstream: does what real ones do, well and badly, and counts what really ran. */
@NullMarked
package org.bulrushwheel.standin;

import org.jspecify.annotations.NullMarked;
