package org.bulrushwheel.logic.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.proto.ConfigurationItem;

/**
 * Difference between two configurations, item by item. Unchanged sections keep their list objects, so that structures
 * built from them can be reused.
 *
 * <p>Immutable and thread safe.
 *
 * @param upserts added or changed items
 * @param removals removed items
 */
public record ConfigurationDelta(List<ConfigurationItem> upserts, List<ConfigurationItem> removals) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HEADER = "header";

    /** Copies the lists. */
    public ConfigurationDelta {
        upserts = List.copyOf(upserts);
        removals = List.copyOf(removals);
    }

    private record Header(String deployment, String timeZone) {
        static Header of(Configuration configuration) {
            return new Header(configuration.deployment(), configuration.timeZone());
        }
    }

    /** Returns the delta that turns one configuration into the other. */
    public static ConfigurationDelta between(Configuration from, Configuration to) {
        List<ConfigurationItem> upserts = new ArrayList<>();
        List<ConfigurationItem> removals = new ArrayList<>();
        if (!Header.of(from).equals(Header.of(to))) {
            upserts.add(item(HEADER, "", Header.of(to)));
        }
        for (ConfigurationSection<?> section : ConfigurationSection.ALL) {
            compare(section, from, to, upserts, removals);
        }
        return new ConfigurationDelta(upserts, removals);
    }

    /** Returns the configuration with this delta applied, or the error of an item that cannot be read. */
    public Either<String, Configuration> applyTo(Configuration base) {
        try {
            Header header = Header.of(base);
            for (ConfigurationItem item : upserts) {
                if (item.getSection().equals(HEADER)) {
                    header = JSON.readValue(item.getJson(), Header.class);
                }
            }
            return Either.right(new Configuration(
                    header.deployment(),
                    header.timeZone(),
                    merged(ConfigurationSection.REGIONS, base),
                    merged(ConfigurationSection.ZONES, base),
                    merged(ConfigurationSection.LINKS, base),
                    merged(ConfigurationSection.TEAMS, base),
                    merged(ConfigurationSection.SERVICES, base),
                    merged(ConfigurationSection.SHIFTS, base),
                    merged(ConfigurationSection.SHIFT_CAPS, base),
                    merged(ConfigurationSection.CLIENT_BLOCKS, base),
                    merged(ConfigurationSection.DRAINS, base)));
        } catch (JsonProcessingException e) {
            return Either.left(e.getOriginalMessage());
        }
    }

    /** Returns one human-readable line per change: + for an added, ~ for a changed and - for a removed item. */
    public List<String> describe(Configuration base) {
        List<String> lines = new ArrayList<>();
        for (ConfigurationItem item : upserts) {
            boolean exists = ConfigurationSection.ALL.stream()
                    .filter(section -> section.name().equals(item.getSection()))
                    .anyMatch(section -> itemsByKey(section, base).containsKey(item.getKey()));
            lines.add((exists || item.getSection().equals(HEADER) ? "~ " : "+ ") + item.getSection() + " "
                    + item.getKey() + " " + item.getJson());
        }
        removals.forEach(item -> lines.add("- " + item.getSection() + " " + item.getKey()));
        return lines;
    }

    private <T> List<T> merged(ConfigurationSection<T> section, Configuration base) throws JsonProcessingException {
        List<ConfigurationItem> changed = of(section, upserts);
        List<ConfigurationItem> removed = of(section, removals);
        if (changed.isEmpty() && removed.isEmpty()) {
            return section.items().apply(base);
        }
        Map<String, T> items = itemsByKey(section, base);
        removed.forEach(item -> items.remove(item.getKey()));
        for (ConfigurationItem item : changed) {
            items.put(item.getKey(), JSON.readValue(item.getJson(), section.itemType()));
        }
        return List.copyOf(items.values());
    }

    private static List<ConfigurationItem> of(ConfigurationSection<?> section, List<ConfigurationItem> items) {
        return items.stream()
                .filter(item -> item.getSection().equals(section.name()))
                .toList();
    }

    private static <T> void compare(
            ConfigurationSection<T> section,
            Configuration from,
            Configuration to,
            List<ConfigurationItem> upserts,
            List<ConfigurationItem> removals) {
        if (section.items().apply(from) == section.items().apply(to)) {
            return;
        }
        Map<String, T> before = itemsByKey(section, from);
        Map<String, T> after = itemsByKey(section, to);
        after.forEach((key, value) -> {
            if (!Objects.equals(before.get(key), value)) {
                upserts.add(item(section.name(), key, value));
            }
        });
        before.keySet().stream()
                .filter(key -> !after.containsKey(key))
                .forEach(key -> removals.add(ConfigurationItem.newBuilder()
                        .setSection(section.name())
                        .setKey(key)
                        .build()));
    }

    private static <T> Map<String, T> itemsByKey(ConfigurationSection<T> section, Configuration configuration) {
        Map<String, T> items = new LinkedHashMap<>();
        section.items()
                .apply(configuration)
                .forEach(item -> items.put(section.key().apply(item), item));
        return items;
    }

    private static ConfigurationItem item(String section, String key, Object value) {
        try {
            return ConfigurationItem.newBuilder()
                    .setSection(section)
                    .setKey(key)
                    .setJson(JSON.writeValueAsString(value))
                    .build();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize to JSON: " + value, e);
        }
    }
}
