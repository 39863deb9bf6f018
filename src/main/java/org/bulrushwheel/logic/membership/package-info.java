/** Which instances of a zone are alive, and which of them owns what. */
@NullMarked
package org.bulrushwheel.logic.membership;

import org.jspecify.annotations.NullMarked;
