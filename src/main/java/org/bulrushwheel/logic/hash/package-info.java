/** Hashes that all instances and releases share. */
@NullMarked
package org.bulrushwheel.logic.hash;

import org.jspecify.annotations.NullMarked;
