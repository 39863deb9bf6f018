/** Upstream endpoints as they announce themselves. */
@NullMarked
package org.bulrushwheel.model.upstream;

import org.jspecify.annotations.NullMarked;
