package org.bulrushwheel.logic.response;

import java.util.Arrays;
import java.util.stream.Stream;

/** A way in which a response can break the grammar of HTTP/1.1. */
public interface MalformedShape {
    /** Returns the name of the shape, which no other one has. */
    String name();

    /**
     * Returns a whole response of this shape.
     *
     * @param requestId ID of its request
     */
    String response(String requestId);

    /** Returns all shapes. */
    static Stream<MalformedShape> all() {
        return Stream.concat(Arrays.stream(MalformedHead.values()), Arrays.stream(MalformedChunks.values()));
    }

    /** Returns the shape of a name. */
    static MalformedShape named(String name) {
        return all().filter(shape -> shape.name().equals(name)).findFirst().orElseThrow();
    }
}
