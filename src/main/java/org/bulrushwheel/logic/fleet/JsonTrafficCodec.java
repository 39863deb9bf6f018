package org.bulrushwheel.logic.fleet;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.bulrushwheel.model.traffic.TrafficConfiguration;
import org.bulrushwheel.model.traffic.TrafficDocumentCodec;

/**
 * Reads a traffic configuration from JSON whose keys are the component names of {@link TrafficConfiguration}.
 *
 * <p>Stateless and thread safe.
 */
public final class JsonTrafficCodec implements TrafficDocumentCodec {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    @Override
    public Either<List<String>, TrafficConfiguration> read(byte[] document) {
        try {
            return Either.right(JSON.readValue(document, TrafficConfiguration.class));
        } catch (IOException e) {
            return Either.left(List.of("the configuration can't be read in full: " + e.getMessage() + "; correct it"));
        }
    }
}
