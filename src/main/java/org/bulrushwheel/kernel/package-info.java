/** Micro-kernel: services that start in order, stop in reverse and find each other by name. */
@NullMarked
package org.bulrushwheel.kernel;

import org.jspecify.annotations.NullMarked;
