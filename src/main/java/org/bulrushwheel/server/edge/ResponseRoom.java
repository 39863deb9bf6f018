package org.bulrushwheel.server.edge;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;

/**
 * The room for responses that are held while they arrive. If it is used up, the response that holds the most ends.
 *
 * <p>Invariant: a response that holds less than others does not end for them. Not thread safe: confined to one event loop.
 */
final class ResponseRoom {
    /** A response that is held while it arrives. */
    interface Holder {
        /** Returns how many bytes of memory the response occupies; more than zero while it is held here. */
        long heldBytes();

        /** Ends the response and releases its memory; {@link #release} is called before this returns. */
        void endForRoom();
    }

    private final HeldBytes heldBytes;
    private final Set<Holder> holders = Collections.newSetFromMap(new IdentityHashMap<>());

    ResponseRoom(HeldBytes heldBytes) {
        this.heldBytes = heldBytes;
    }

    HeldBody newBody() {
        return new HeldBody(heldBytes);
    }

    /**
     * Ends responses until a holder can occupy so many more bytes. That may end the holder itself, or not suffice if the
     * memory is occupied by complete bodies.
     */
    void makeRoom(Holder holder, int moreBytes) {
        holders.add(holder);
        while (!heldBytes.fits(moreBytes) && holders.contains(holder)) {
            Optional<Holder> largest = holders.stream()
                    .max(Comparator.comparingLong(each -> each.heldBytes() + (each == holder ? moreBytes : 0)));
            if (largest.isEmpty() || largest.get().heldBytes() == 0) {
                return;
            }
            largest.get().endForRoom();
        }
    }

    /** Called when a response is complete, is passed on or has ended. */
    void release(Holder holder) {
        holders.remove(holder);
    }
}
