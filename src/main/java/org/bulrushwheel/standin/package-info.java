/** Simulated upstream endpoints with configurable faults, which count the requests they execute. */
@NullMarked
package org.bulrushwheel.standin;

import org.jspecify.annotations.NullMarked;
