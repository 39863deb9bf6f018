package org.bulrushwheel.logic.response;

import java.util.regex.Pattern;

/**
 * Finds the head of a second response inside that of a first one which broke off in mid-line.
 *
 * <p>Invariant: a status line is found wherever it begins and whatever follows its status code, except where the code is
 * the first part of an IPv4 address, as a sound {@code Via} header may have it. Stateless and thread safe.
 */
public final class JoinedHead {
    private static final String VERSION_START = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01][ \\t]+[0-9]{3}(?!\\.[0-9])");

    private JoinedHead() {}

    /** Whether a status line begins inside a reason phrase, or inside the name or the value of a header. */
    public static boolean isIn(String part) {
        return part.contains(VERSION_START) && STATUS_LINE.matcher(part).find();
    }
}
