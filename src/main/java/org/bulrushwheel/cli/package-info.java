/** Command line. */
@NullMarked
package org.bulrushwheel.cli;

import org.jspecify.annotations.NullMarked;
