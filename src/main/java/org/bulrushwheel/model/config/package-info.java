/** The accepted configuration as immutable values. */
@NullMarked
package org.bulrushwheel.model.config;

import org.jspecify.annotations.NullMarked;
