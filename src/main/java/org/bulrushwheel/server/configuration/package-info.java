/** The configuration in force on an instance and its distribution between instances. */
@NullMarked
package org.bulrushwheel.server.configuration;

import org.jspecify.annotations.NullMarked;
