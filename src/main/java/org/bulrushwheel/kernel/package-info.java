/** Micro-kernel: starts services in order of registration, stops them in reverse, and lets them look each other up by name. */
@NullMarked
package org.bulrushwheel.kernel;

import org.jspecify.annotations.NullMarked;
