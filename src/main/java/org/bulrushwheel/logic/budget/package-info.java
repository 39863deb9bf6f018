/** Capacity leases: owners grant shares of a limit to holders until a deadline. */
@NullMarked
package org.bulrushwheel.logic.budget;

import org.jspecify.annotations.NullMarked;
