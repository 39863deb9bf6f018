/** The configuration in force on an instance, and how it gets there. */
@NullMarked
package org.bulrushwheel.server.configuration;

import org.jspecify.annotations.NullMarked;
