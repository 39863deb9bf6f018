/** Hashes with identical values on all instances and in all releases. */
@NullMarked
package org.bulrushwheel.logic.hash;

import org.jspecify.annotations.NullMarked;
