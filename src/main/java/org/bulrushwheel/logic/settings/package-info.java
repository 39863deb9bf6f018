/** Reading and checking settings. */
@NullMarked
package org.bulrushwheel.logic.settings;

import org.jspecify.annotations.NullMarked;
