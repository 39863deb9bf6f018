/** Instances of the system and their settings. */
@NullMarked
package org.bulrushwheel.model.instance;

import org.jspecify.annotations.NullMarked;
