package org.bulrushwheel.measure.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.bulrushwheel.logic.config.ConfigurationCodec;

/**
 * Measured resource costs per unit of size or load, each with the command that measured it.
 *
 * <p>Immutable and thread safe.
 *
 * @param slopes slopes in file order
 */
public record Slopes(List<Slope> slopes) {
    private static final String RESOURCE = "/capacity-slopes.toml";

    /** Makes a defensive copy of the list. */
    public Slopes {
        slopes = List.copyOf(slopes);
    }

    /**
     * One measured cost, looked up by its name.
     *
     * @param name unique name
     * @param value measured value in {@code unit}
     * @param unit unit as it is printed
     * @param source command, seed and measured range that the value comes from
     */
    public record Slope(String name, double value, String unit, String source) {}

    /** Reads the slopes bundled with the program; throws IllegalStateException if the resource is unreadable or invalid. */
    public static Slopes shipped() {
        try (InputStream stream = Slopes.class.getResourceAsStream(RESOURCE)) {
            String document = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return ConfigurationCodec.read(document, Slopes.class)
                    .getOrElseThrow(error -> new IllegalStateException(RESOURCE + ": " + error));
        } catch (IOException e) {
            throw new IllegalStateException(
                    RESOURCE + " cannot be read from the program archive; rebuild the program", e);
        }
    }

    /** Returns the value of a slope; throws IllegalStateException if there is no slope of this name. */
    public double value(String name) {
        return slopes.stream()
                .filter(slope -> slope.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("slope " + name + " is missing from " + RESOURCE))
                .value();
    }
}
