/** Announced upstream endpoints. */
@NullMarked
package org.bulrushwheel.model.upstream;

import org.jspecify.annotations.NullMarked;
