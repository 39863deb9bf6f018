package org.bulrushwheel.cli;

/** Exit codes of the program. */
final class ExitCodes {
    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    private ExitCodes() {}
}
