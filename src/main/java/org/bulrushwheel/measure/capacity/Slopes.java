package org.bulrushwheel.measure.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.bulrushwheel.logic.config.ConfigurationCodec;

/**
 * Measured slopes, each with the command that gave it.
 *
 * <p>Immutable and thread safe.
 *
 * @param slopes the slopes
 */
public record Slopes(List<Slope> slopes) {
    private static final String RESOURCE = "/capacity-slopes.toml";

    /** Copies the list. */
    public Slopes {
        slopes = List.copyOf(slopes);
    }

    /**
     * One slope.
     *
     * @param name name
     * @param value value
     * @param unit unit
     * @param source command, seed and range
     */
    public record Slope(String name, double value, String unit, String source) {}

    /** Reads the slopes that are shipped. */
    public static Slopes shipped() {
        try (InputStream stream = Slopes.class.getResourceAsStream(RESOURCE)) {
            String document = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return ConfigurationCodec.read(document, Slopes.class)
                    .getOrElseThrow(fault -> new IllegalStateException(RESOURCE + ": " + fault));
        } catch (IOException e) {
            throw new IllegalStateException(RESOURCE + " cannot be read; build the program again", e);
        }
    }

    /** Returns the value of a slope. */
    public double value(String name) {
        return slopes.stream()
                .filter(slope -> slope.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("slope " + name + " is missing from " + RESOURCE))
                .value();
    }
}
