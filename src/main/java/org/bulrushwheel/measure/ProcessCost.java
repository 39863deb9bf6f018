package org.bulrushwheel.measure;

import java.lang.management.ManagementFactory;

import com.sun.management.OperatingSystemMXBean;

/**
 * Processor time and live heap of this process.
 *
 * <p>Stateless and thread safe.
 */
final class ProcessCost {
    private static final int COLLECTIONS = 3;

    private ProcessCost() {}

    static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }

    /** Bytes in use after collections. */
    static long heapBytes() {
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
