package org.bulrushwheel.logic.raft;

/**
 * Identity of a replica: the instance that runs it, and an identifier that is unique to each disk.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of the instance
 * @param disk identifier of the disk, new for every empty data folder
 */
public record ReplicaId(String instance, String disk) {
    /** Disk identifier of the initial replicas of a new deployment. */
    public static final String FIRST_DISK = "1";

    private static final char SEPARATOR = '#';

    /** Parses the output of {@link #toString()}. */
    public static ReplicaId parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        return new ReplicaId(text.substring(0, separator), text.substring(separator + 1));
    }

    @Override
    public String toString() {
        return instance + SEPARATOR + disk;
    }
}
