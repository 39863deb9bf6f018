/** Directory of the known upstream endpoints. */
@NullMarked
package org.bulrushwheel.logic.upstream;

import org.jspecify.annotations.NullMarked;
