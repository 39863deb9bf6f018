package org.bulrushwheel.logic.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.bulrushwheel.local.TestConfigurations;
import org.bulrushwheel.model.config.ClientBlock;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Drain;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

class ConfigurationDeltaTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void deltaTurnsOneConfigurationIntoTheOther(long seed) {
        Random random = new Random(seed);
        Configuration from = random(random);
        Configuration to = random(random);
        Configuration result =
                ConfigurationDelta.between(from, to).applyTo(from).get();

        assertEquals(sorted(to.clientBlocks()), sorted(result.clientBlocks()));
        assertEquals(ConfigurationDelta.between(to, result), new ConfigurationDelta(List.of(), List.of()));
    }

    @Test
    void unchangedSectionsKeepTheirListObjects() {
        Configuration from = TestConfigurations.configuration();
        Configuration to = from.withDrains(List.of(new Drain(DrainKind.ZONE, "local-a")));
        Configuration result =
                ConfigurationDelta.between(from, to).applyTo(from).get();

        assertSame(from.clientBlocks(), result.clientBlocks());
        assertEquals(to, result);
    }

    @Test
    void writingADocumentIsDeterministic() {
        String document = ConfigurationCodec.write(TestConfigurations.configuration());
        Configuration read =
                ConfigurationCodec.read(document, Configuration.class).get();
        assertEquals(TestConfigurations.configuration(), read);
        assertEquals(document, ConfigurationCodec.write(read));
    }

    @Test
    void restartedInstanceIgnoresVersionsOlderThanTheConfirmedOne() {
        ConfigurationInForce restarted = new ConfigurationInForce(4_000);
        restarted.offer(version(6), 100);
        assertEquals(0, restarted.current().version());
        restarted.confirm(7, 200);
        assertEquals(0, restarted.current().version());
        restarted.offer(version(7), 300);
        assertEquals(7, restarted.current().version());
        restarted.offer(version(6), 400);
        assertEquals(7, restarted.current().version());
    }

    @Test
    void unconfirmedVersionTakesEffectAfterTheGracePeriod() {
        ConfigurationInForce restarted = new ConfigurationInForce(4_000);
        restarted.offer(version(6), 100);
        assertEquals(true, restarted.awaitsConfirmation(3_999));
        assertEquals(false, restarted.awaitsConfirmation(4_000));
        assertEquals(6, restarted.current().version());
    }

    private static VersionedConfiguration version(long version) {
        return new VersionedConfiguration(version, TestConfigurations.configuration(), TestConfigurations.document());
    }

    private static Configuration random(Random random) {
        Configuration base = TestConfigurations.configuration();
        List<ClientBlock> blocks = new ArrayList<>();
        for (int index = 0; index < 20; index++) {
            if (random.nextBoolean()) {
                blocks.add(new ClientBlock("10.0." + index + ".0/24", random.nextBoolean() ? "local-a" : "local-b"));
            }
        }
        return new Configuration(
                "d" + random.nextInt(2),
                base.timeZone(),
                base.regions(),
                base.zones(),
                base.links(),
                base.teams(),
                base.services(),
                base.shifts(),
                base.shiftCaps(),
                blocks,
                base.drains());
    }

    private static List<String> sorted(List<ClientBlock> blocks) {
        return blocks.stream().map(ClientBlock::toString).sorted().toList();
    }
}
