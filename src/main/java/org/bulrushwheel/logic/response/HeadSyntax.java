package org.bulrushwheel.logic.response;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Checks the bytes of response heads against the grammar of HTTP/1.1 (RFC 9112, sections 4 and 5), of which decoders accept
 * more: some cut a field name at a blank, so that neither the name nor the framing that they report is that of the sender.
 *
 * <p>Invariants: the result does not depend on how the bytes are divided among calls; an informational head is followed by
 * another one. Lines may end without a carriage return, and the reason phrase may be missing together with the blank before
 * it. Folded lines are malformed, since they can't be told from a field name that begins with a blank. A body is framed by
 * a single length, by chunks as its only coding, or by the end of the connection; what a head says besides is malformed.
 * Not thread safe: confined to the reader of one connection.
 */
public final class HeadSyntax {
    /** A part of a head that can be malformed. */
    public enum Part {
        STATUS_LINE("status line"),
        FIELD_NAME("field name"),
        FIELD_VALUE("field value");

        private final String text;

        Part(String text) {
            this.text = text;
        }

        @Override
        public String toString() {
            return text;
        }
    }

    private enum State {
        STATUS,
        TEXT,
        LINE_START,
        NAME,
        LINE_END,
        HEAD_END,
        COMPLETE,
        MALFORMED
    }

    private static final String STATUS_PREFIX = "HTTP/1.";
    private static final int MINOR_VERSION_INDEX = STATUS_PREFIX.length();
    private static final int STATUS_CLASS_INDEX = MINOR_VERSION_INDEX + 2;
    private static final int STATUS_END_INDEX = STATUS_CLASS_INDEX + 3;
    private static final String LENGTH_NAME = "content-length";
    private static final String CODING_NAME = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final Set<String> BODILESS_STATUSES = Set.of("204", "304");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    // No name or value that decides about the framing is longer, without the blanks around it.
    private static final int MAX_KEPT_CHARACTERS = 64;

    private final StringBuilder status = new StringBuilder();
    private final StringBuilder fieldName = new StringBuilder();
    private final StringBuilder fieldValue = new StringBuilder();
    private State state = State.STATUS;
    private Part part = Part.STATUS_LINE;
    private int lineIndex;
    private boolean earlierVersion;
    private boolean valueCut;
    private boolean hasLength;
    private boolean chunked;

    /** Expects the head of a response next. */
    public void begin() {
        state = State.STATUS;
        part = Part.STATUS_LINE;
        lineIndex = 0;
        status.setLength(0);
        hasLength = false;
        chunked = false;
    }

    /** Checks the next byte; bytes behind a head are ignored until the next one begins. */
    public void accept(byte next) {
        int octet = next & 0xff;
        switch (state) {
            case STATUS -> onStatus(octet);
            case TEXT -> onText(octet);
            case LINE_START -> onLineStart(octet);
            case NAME -> onName(octet);
            case LINE_END -> state = octet == '\n' ? State.LINE_START : State.MALFORMED;
            case HEAD_END -> state = octet == '\n' ? afterHead() : State.MALFORMED;
            default -> {
                // Nothing to check until the next head begins.
            }
        }
    }

    /** Whether a head has been read, or is malformed, so that the bytes up to the next head need no check. */
    public boolean isDecided() {
        return state == State.COMPLETE || state == State.MALFORMED;
    }

    /** Whether a head has been read whose status and fields announce a body in chunks; the request may still exclude it. */
    public boolean announcesChunks() {
        return state == State.COMPLETE && chunked && !BODILESS_STATUSES.contains(status.toString());
    }

    /** Returns the part of the head that is malformed; empty if none was so far. */
    public Optional<Part> malformedPart() {
        return state == State.MALFORMED ? Optional.of(part) : Optional.empty();
    }

    private void onStatus(int octet) {
        if (lineIndex < STATUS_END_INDEX) {
            if (!isExpectedInStatus(octet)) {
                state = State.MALFORMED;
            }
            if (lineIndex == MINOR_VERSION_INDEX) {
                earlierVersion = octet == '0';
            } else if (lineIndex >= STATUS_CLASS_INDEX) {
                status.append((char) octet);
            }
            lineIndex++;
            return;
        }
        state = switch (octet) {
            case ' ' -> State.TEXT;
            case '\r' -> State.LINE_END;
            case '\n' -> State.LINE_START;
            default -> State.MALFORMED;
        };
    }

    private boolean isExpectedInStatus(int octet) {
        if (lineIndex < MINOR_VERSION_INDEX) {
            return octet == STATUS_PREFIX.charAt(lineIndex);
        }
        if (lineIndex == MINOR_VERSION_INDEX) {
            return octet == '0' || octet == '1';
        }
        if (lineIndex < STATUS_CLASS_INDEX) {
            return octet == ' ';
        }
        return lineIndex == STATUS_CLASS_INDEX ? octet >= '1' && octet <= '5' : Octets.isDigit(octet);
    }

    private void onText(int octet) {
        if (octet == '\r' || octet == '\n') {
            state = octet == '\r' ? State.LINE_END : State.LINE_START;
            if (part == Part.FIELD_VALUE) {
                onField();
            }
        } else if (Octets.isText(octet)) {
            keepOfValue(octet);
        } else {
            state = State.MALFORMED;
        }
    }

    private void keepOfValue(int octet) {
        boolean blank = Octets.isBlank(octet);
        if (blank && fieldValue.isEmpty()) {
            return;
        }
        valueCut |= !blank && fieldValue.length() == MAX_KEPT_CHARACTERS;
        keep(octet, fieldValue);
    }

    private void onField() {
        String name = fieldName.toString();
        String value = fieldValue.toString().strip();
        if (name.equalsIgnoreCase(LENGTH_NAME)) {
            checkFraming(LENGTH.matcher(value).matches());
            hasLength = true;
        } else if (name.equalsIgnoreCase(CODING_NAME)) {
            checkFraming(value.equalsIgnoreCase(CHUNKED) && !earlierVersion);
            chunked = true;
        }
    }

    private void checkFraming(boolean isKnown) {
        // Readers disagree on where a body ends whose framing is given twice, or in a form that they don't know.
        if (!isKnown || valueCut || hasLength || chunked) {
            state = State.MALFORMED;
        }
    }

    private static void keep(int octet, StringBuilder text) {
        if (text.length() < MAX_KEPT_CHARACTERS) {
            text.append((char) octet);
        }
    }

    private void onLineStart(int octet) {
        part = Part.FIELD_NAME;
        if (octet == '\r') {
            state = State.HEAD_END;
        } else if (octet == '\n') {
            state = afterHead();
        } else {
            fieldName.setLength(0);
            fieldValue.setLength(0);
            valueCut = false;
            state = State.NAME;
            onName(octet);
        }
    }

    private void onName(int octet) {
        if (octet == ':' && !fieldName.isEmpty()) {
            part = Part.FIELD_VALUE;
            state = State.TEXT;
        } else if (Octets.isToken(octet)) {
            keep(octet, fieldName);
        } else {
            state = State.MALFORMED;
        }
    }

    private State afterHead() {
        boolean informational = status.charAt(0) == '1';
        if (!informational) {
            return State.COMPLETE;
        }
        begin();
        return state;
    }
}
