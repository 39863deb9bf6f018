package org.bulrushwheel.control;

/** Receives configuration fetches after the leadership has been confirmed. Called on the control thread. */
@FunctionalInterface
public interface ConfirmedFetchListener {
    /**
     * Answers a fetch.
     *
     * @param requester instance that sent the fetch
     * @param haveVersion version that the requester has
     * @param newestVersion newest accepted version
     */
    void onConfirmed(String requester, long haveVersion, long newestVersion);
}
