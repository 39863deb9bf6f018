/** Reading, generating, validating and comparing configurations. */
@NullMarked
package org.bulrushwheel.logic.config;

import org.jspecify.annotations.NullMarked;
