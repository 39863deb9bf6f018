/** Reading and validating settings. */
@NullMarked
package org.bulrushwheel.logic.settings;

import org.jspecify.annotations.NullMarked;
