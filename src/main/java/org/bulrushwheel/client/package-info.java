/** HTTP calls of the command line and the stand-ins. */
@NullMarked
package org.bulrushwheel.client;

import org.jspecify.annotations.NullMarked;
