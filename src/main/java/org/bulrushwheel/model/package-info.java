/** Immutable data. Depends on nothing else in the project. */
@NullMarked
package org.bulrushwheel.model;

import org.jspecify.annotations.NullMarked;
