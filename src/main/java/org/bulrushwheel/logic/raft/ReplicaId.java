package org.bulrushwheel.logic.raft;

/**
 * Identity of a replica: the instance that holds it and a part that is new for each disk.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of the instance
 * @param disk part that is unique to the disk
 */
public record ReplicaId(String instance, String disk) {
    /** Disk part of the replicas that a new deployment starts with. */
    public static final String FIRST_DISK = "1";

    private static final char SEPARATOR = '#';

    /** Parses the form that {@link #toString()} writes. */
    public static ReplicaId parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        return new ReplicaId(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return instance + SEPARATOR + disk;
    }
}
