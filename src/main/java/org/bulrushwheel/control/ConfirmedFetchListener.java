package org.bulrushwheel.control;

/** Is told of fetches that a confirmed leader may answer. Called on the control thread. */
@FunctionalInterface
public interface ConfirmedFetchListener {
    /**
     * Answers a fetch.
     *
     * @param asker instance that asked
     * @param haveVersion version that it has
     * @param newestVersion newest accepted version
     */
    void onConfirmed(String asker, long haveVersion, long newestVersion);
}
