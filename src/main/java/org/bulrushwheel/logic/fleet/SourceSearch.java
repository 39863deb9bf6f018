package org.bulrushwheel.logic.fleet;

import java.util.List;

/**
 * The control instance that an entry instance receives the fleet from: when it is left, and for which one.
 *
 * <p>Invariants: a source that confirms that it is current is left only for a nearer one. Once a source has been left
 * because it was silent, candidates that answer without being current are passed over at once, at most all of them once
 * in a row; one that doesn't answer gets time, and its answer counts however late it comes. Not thread safe: confined to
 * one event loop.
 */
public final class SourceSearch {
    // Covers three unanswered hellos, or two one-way trips between regions and a leader election.
    private static final long SILENT_MILLIS = 1_000;
    // Gives a control instance that has recovered time to catch up before the subscription returns to it.
    private static final long FAILBACK_DELAY_MILLIS = 5_000;

    private String source = "";
    private long confirmedMillis;
    private long switchedMillis;
    private boolean lost;
    private int askedInRound;

    /** Creates a search without a source; until the first confirmation the time of creation counts as one. */
    public SourceSearch(long nowMillis) {
        this.confirmedMillis = nowMillis;
    }

    /** Returns the peer address of the source, empty if there is none yet. */
    public String source() {
        return source;
    }

    /** Whether no source has been current since one was left because it was silent. */
    public boolean isLost() {
        return lost;
    }

    /**
     * Chooses the first source, the one after a silent source, or a nearer one that is back; returns whether the source
     * has changed.
     *
     * @param order candidates, the nearest first
     * @param nearerThere whether there is a live candidate nearer than the source
     */
    public boolean check(List<String> order, boolean nearerThere, long nowMillis) {
        boolean silent = nowMillis - confirmedMillis > SILENT_MILLIS && nowMillis - switchedMillis > SILENT_MILLIS;
        if (source.isEmpty() || silent) {
            askedInRound = 1;
            return turnToNext(order, nowMillis);
        }
        return nearerThere && nowMillis - switchedMillis > FAILBACK_DELAY_MILLIS && turnTo(order, 0, nowMillis);
    }

    /**
     * Handles the word of a control instance that it is up to date. During a search it becomes the source, also if it has
     * been passed over since it was asked.
     */
    public void onConfirmed(String sender, long nowMillis) {
        if (lost && !sender.equals(source)) {
            source = sender;
            switchedMillis = nowMillis;
        }
        if (sender.equals(source)) {
            confirmedMillis = nowMillis;
            lost = false;
        }
    }

    /**
     * Handles an answer of the source that it is not up to date; returns whether the source has changed.
     *
     * @param order candidates, the nearest first
     */
    public boolean onNotCurrent(List<String> order, long nowMillis) {
        if (!lost || askedInRound >= order.size()) {
            return false;
        }
        askedInRound++;
        return turnToNext(order, nowMillis);
    }

    private boolean turnToNext(List<String> order, long nowMillis) {
        boolean hadSource = !source.isEmpty();
        boolean turned = !order.isEmpty() && turnTo(order, (order.indexOf(source) + 1) % order.size(), nowMillis);
        lost = lost || (hadSource && turned);
        return turned;
    }

    private boolean turnTo(List<String> order, int index, long nowMillis) {
        if (order.isEmpty()) {
            return false;
        }
        String previous = source;
        source = order.get(index);
        switchedMillis = nowMillis;
        return !source.equals(previous);
    }
}
