package org.bulrushwheel.logic.config;

import java.util.List;
import java.util.function.Function;

import org.bulrushwheel.model.config.AvailabilityZone;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Drain;
import org.bulrushwheel.model.config.Link;
import org.bulrushwheel.model.config.Region;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.Shift;
import org.bulrushwheel.model.config.ShiftCap;
import org.bulrushwheel.model.config.Team;

/**
 * A section of the configuration: a list of items with unique keys.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name in documents and in frames on the wire
 * @param itemType type of an item
 * @param items returns the list of a configuration
 * @param key returns the key of an item, which is unique in the list
 * @param <T> type of an item
 */
record ConfigurationSection<T>(
        String name, Class<T> itemType, Function<Configuration, List<T>> items, Function<T, String> key) {
    static final ConfigurationSection<Region> REGIONS =
            new ConfigurationSection<>("regions", Region.class, Configuration::regions, Region::name);
    static final ConfigurationSection<AvailabilityZone> ZONES =
            new ConfigurationSection<>("zones", AvailabilityZone.class, Configuration::zones, AvailabilityZone::name);
    static final ConfigurationSection<Link> LINKS = new ConfigurationSection<>(
            "links", Link.class, Configuration::links, link -> link.from() + "/" + link.to());
    static final ConfigurationSection<Team> TEAMS =
            new ConfigurationSection<>("teams", Team.class, Configuration::teams, Team::name);
    static final ConfigurationSection<ServiceDefinition> SERVICES = new ConfigurationSection<>(
            "services", ServiceDefinition.class, Configuration::services, ServiceDefinition::name);
    static final ConfigurationSection<Shift> SHIFTS =
            new ConfigurationSection<>("shifts", Shift.class, Configuration::shifts, Shift::name);
    static final ConfigurationSection<ShiftCap> SHIFT_CAPS = new ConfigurationSection<>(
            "shiftCaps", ShiftCap.class, Configuration::shiftCaps, cap -> cap.service() + "/" + cap.shift());
    static final ConfigurationSection<ClientBlock> CLIENT_BLOCKS = new ConfigurationSection<>(
            "clientBlocks", ClientBlock.class, Configuration::clientBlocks, ClientBlock::cidr);
    static final ConfigurationSection<Drain> DRAINS = new ConfigurationSection<>(
            "drains", Drain.class, Configuration::drains, drain -> drain.kind() + "/" + drain.name());

    static final List<ConfigurationSection<?>> ALL =
            List.of(REGIONS, ZONES, LINKS, TEAMS, SERVICES, SHIFTS, SHIFT_CAPS, CLIENT_BLOCKS, DRAINS);
}
