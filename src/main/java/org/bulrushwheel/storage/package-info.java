/** Files of a replica: log, snapshot and identity below one data folder. */
@NullMarked
package org.bulrushwheel.storage;

import org.jspecify.annotations.NullMarked;
