/** Requests that crash endpoints, shared by all instances. */
@NullMarked
package org.bulrushwheel.server.poison;

import org.jspecify.annotations.NullMarked;
