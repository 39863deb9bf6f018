/** What can be told of a response from its bytes alone. */
@NullMarked
package org.bulrushwheel.logic.response;

import org.jspecify.annotations.NullMarked;
