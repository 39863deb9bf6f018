/** Settings of one process. */
@NullMarked
package org.bulrushwheel.model.settings;

import org.jspecify.annotations.NullMarked;
