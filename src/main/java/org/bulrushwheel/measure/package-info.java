/** Measurements that print a table; each has its baseline in the same run. */
@NullMarked
package org.bulrushwheel.measure;

import org.jspecify.annotations.NullMarked;
