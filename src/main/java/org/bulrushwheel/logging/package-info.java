/** Where log lines go: their form, their bound, and what is kept when there are too many. */
@NullMarked
package org.bulrushwheel.logging;

import org.jspecify.annotations.NullMarked;
