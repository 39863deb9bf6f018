/** Which decisions are written when there are too many, and what they say together about one request. */
@NullMarked
package org.bulrushwheel.logic.decision;

import org.jspecify.annotations.NullMarked;
