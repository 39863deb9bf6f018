/** Durable storage of a replica: log, snapshot and identity in one data folder. */
@NullMarked
package org.bulrushwheel.storage;

import org.jspecify.annotations.NullMarked;
