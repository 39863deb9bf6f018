/** Which upstream endpoints are known. */
@NullMarked
package org.bulrushwheel.logic.upstream;

import org.jspecify.annotations.NullMarked;
