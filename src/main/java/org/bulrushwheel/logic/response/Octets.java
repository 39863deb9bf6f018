package org.bulrushwheel.logic.response;

/** Classes of octets in the grammar of HTTP/1.1 (RFC 9110, section 5.6). Thread safe: without state. */
final class Octets {
    private static final int DELETE = 0x7f;
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private Octets() {}

    static boolean isDigit(int octet) {
        return octet >= '0' && octet <= '9';
    }

    static boolean isBlank(int octet) {
        return octet == ' ' || octet == '\t';
    }

    /** Whether an octet may stand in a reason phrase, a field value or a chunk extension. */
    static boolean isText(int octet) {
        return isBlank(octet) || (octet > ' ' && octet != DELETE);
    }

    /** Whether an octet may stand in a field name. */
    static boolean isToken(int octet) {
        return isDigit(octet)
                || (octet >= 'a' && octet <= 'z')
                || (octet >= 'A' && octet <= 'Z')
                || TOKEN_PUNCTUATION.indexOf(octet) >= 0;
    }
}
