/** Assembles the services that make up one process. */
@NullMarked
package org.bulrushwheel.daemon;

import org.jspecify.annotations.NullMarked;
