package review;

/** The case could not be set up; this says nothing about the rule. */
final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
        super(message);
    }
}
