package org.bulrushwheel.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.bulrushwheel.logic.lookup.ClientBlockTable;
import org.bulrushwheel.logic.lookup.EntrySelector;
import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.instance.Instance;

/**
 * Cost of the decision behind a look-up, and of the table of client blocks; the baseline is the smallest table.
 *
 * <p>Stateless and thread safe.
 */
public final class LookupMeasurement {
    private static final int[] BLOCKS = {1_000, 45_000, 450_000};
    private static final int ZONES = 128;
    private static final int INSTANCES = 6_700;
    private static final int LOOKUPS = 300_000;
    private static final int ENTRIES = 3;
    private static final int COPIES = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private LookupMeasurement() {}

    private record Run(double lookupsPerSecond, double bytesPerBlock, double buildMillis, double parsedBytes) {}

    /** Runs each table size. */
    public static List<Figure> run(long seed) {
        List<Figure> figures = new ArrayList<>();
        Run first = run(BLOCKS[0], seed);
        for (int blocks : BLOCKS) {
            Run run = run(blocks, seed);
            String name = blocks + " blocks";
            figures.add(new Figure(
                    name + ": decisions a core", "1/s", first.lookupsPerSecond(), run.lookupsPerSecond(), seed));
            figures.add(new Figure(name + ": table", "bytes/block", first.bytesPerBlock(), run.bytesPerBlock(), seed));
            figures.add(new Figure(name + ": as objects", "bytes/block", first.parsedBytes(), run.parsedBytes(), seed));
            figures.add(new Figure(name + ": build of the table", "ms", first.buildMillis(), run.buildMillis(), seed));
        }
        return figures;
    }

    private static Run run(int count, long seed) {
        long heapEmpty = ProcessCost.heapBytes();
        List<ClientBlock> blocks = blocks(count, seed);
        double parsedBytes = (ProcessCost.heapBytes() - heapEmpty) / (double) count;
        ClientBlockTable.of(blocks);
        long heapBefore = ProcessCost.heapBytes();
        long buildStart = System.nanoTime();
        List<ClientBlockTable> tables = new ArrayList<>();
        for (int copy = 0; copy < COPIES; copy++) {
            tables.add(ClientBlockTable.of(blocks));
        }
        double buildMillis = (System.nanoTime() - buildStart) / NANOS_PER_MILLI / COPIES;
        double bytesPerBlock = (ProcessCost.heapBytes() - heapBefore) / (double) count / COPIES;
        return new Run(lookupsPerSecond(tables.get(0), seed), bytesPerBlock, buildMillis, parsedBytes);
    }

    private static double lookupsPerSecond(ClientBlockTable table, long seed) {
        EntrySelector selector = new EntrySelector(configuration(), instances());
        String[] clients = clients(seed);
        long found = lookups(table, selector, clients);
        long start = System.nanoTime();
        found += lookups(table, selector, clients);
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        if (found == 0) {
            throw new IllegalStateException("no look-up found an instance");
        }
        return LOOKUPS / seconds;
    }

    private static long lookups(ClientBlockTable table, EntrySelector selector, String[] clients) {
        long found = 0;
        for (int index = 0; index < LOOKUPS; index++) {
            String client = clients[index % clients.length];
            String zone = table.zoneOf(client).orElse("z0");
            found += selector.select(zone, "r0", client.hashCode(), ENTRIES).size();
        }
        return found;
    }

    /** Prefixes of /16 to /24, many inside others. */
    private static List<ClientBlock> blocks(int count, long seed) {
        Random random = new Random(seed);
        List<ClientBlock> blocks = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            String cidr = random.nextInt(224) + "." + random.nextInt(256) + "." + random.nextInt(256) + ".0/"
                    + (16 + random.nextInt(9));
            blocks.add(new ClientBlock(cidr, "z" + random.nextInt(ZONES)));
        }
        return blocks;
    }

    private static String[] clients(long seed) {
        Random random = new Random(seed + 1);
        String[] clients = new String[10_000];
        for (int index = 0; index < clients.length; index++) {
            clients[index] = random.nextInt(224) + "." + random.nextInt(256) + "." + random.nextInt(256) + ".9";
        }
        return clients;
    }

    private static List<Instance> instances() {
        List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            String zone = "z" + index % ZONES;
            instances.add(
                    new Instance("i" + index, zone, "r" + index % ZONES / 2, "10.0.0.1:80", "10.0.0.1:81", false));
        }
        return instances;
    }

    private static Configuration configuration() {
        List<Region> regions = new ArrayList<>();
        List<AvailabilityZone> zones = new ArrayList<>();
        for (int index = 0; index < ZONES; index++) {
            zones.add(new AvailabilityZone("z" + index, "r" + index / 2));
            if (index % 2 == 0) {
                regions.add(new Region("r" + index / 2));
            }
        }
        return new Configuration(
                "measure", "UTC", regions, zones, List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
                List.of());
    }
}
