/** Log output: format, destination, queue bound, and which lines are kept under overload. */
@NullMarked
package org.bulrushwheel.logging;

import org.jspecify.annotations.NullMarked;
