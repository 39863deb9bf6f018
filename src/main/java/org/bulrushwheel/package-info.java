/** Global traffic steering: entry instances, control instances and the command line in one binary. */
@NullMarked
package org.bulrushwheel;

import org.jspecify.annotations.NullMarked;
