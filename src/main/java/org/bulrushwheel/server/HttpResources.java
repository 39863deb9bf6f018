package org.bulrushwheel.server;

import org.bulrushwheel.kernel.ByteBudget;

/**
 * What the handlers of an HTTP service share.
 *
 * <p>Immutable and thread safe.
 *
 * @param bodies budget of the bodies that the process holds
 * @param answers writer of JSON responses and refusals
 */
public record HttpResources(ByteBudget bodies, HttpAnswers answers) {}
