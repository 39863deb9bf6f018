/** Requests that crash endpoints, known to all instances. */
@NullMarked
package org.bulrushwheel.server.poison;

import org.jspecify.annotations.NullMarked;
