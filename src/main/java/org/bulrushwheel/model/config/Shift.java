package org.bulrushwheel.model.config;

/**
 * A shift, given by times of day in the configuration's time zone. Time outside every shift is a break.
 *
 * <p>Immutable and thread safe.
 *
 * @param name unique in the configuration
 * @param startTime inclusive, as HH:MM
 * @param endTime exclusive, as HH:MM; a shift whose end is not after its start spans midnight
 */
public record Shift(String name, String startTime, String endTime) {}
