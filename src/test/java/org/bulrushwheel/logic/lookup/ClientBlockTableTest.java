package org.bulrushwheel.logic.lookup;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.bulrushwheel.logic.config.CidrPrefix;
import org.bulrushwheel.model.config.ClientBlock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ClientBlockTableTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void tableAgreesWithALinearSearch(long seed) {
        Random random = new Random(seed);
        List<ClientBlock> blocks = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            blocks.add(new ClientBlock(address(random) + "/" + random.nextInt(33), "z" + random.nextInt(5)));
            blocks.add(new ClientBlock("2001:db8:" + random.nextInt(4) + "::/" + (16 + random.nextInt(100)), "z9"));
        }
        List<ClientBlock> distinct = distinct(blocks);
        ClientBlockTable table = ClientBlockTable.of(distinct);
        for (int index = 0; index < 500; index++) {
            String client = index % 5 == 0 ? "2001:db8:" + random.nextInt(5) + "::" + index : address(random);
            assertEquals(linearSearch(distinct, client), table.zoneOf(client), client);
        }
    }

    @Test
    void emptyPrefixCoversEveryAddressOfItsFamily() {
        ClientBlockTable table = ClientBlockTable.of(List.of(new ClientBlock("0.0.0.0/0", "z")));
        assertEquals(Optional.of("z"), table.zoneOf("255.255.255.255"));
        assertEquals(Optional.empty(), table.zoneOf("2001:db8::1"));
    }

    private static Optional<String> linearSearch(List<ClientBlock> blocks, String client) {
        byte[] address = CidrPrefix.parseAddress(client).orElseThrow();
        ClientBlock best = null;
        int bestBits = -1;
        for (ClientBlock block : blocks) {
            CidrPrefix prefix = CidrPrefix.parse(block.cidr()).orElseThrow();
            if (prefix.contains(address) && prefix.lengthBits() > bestBits) {
                best = block;
                bestBits = prefix.lengthBits();
            }
        }
        return Optional.ofNullable(best).map(ClientBlock::zone);
    }

    /** Keeps the first block of each masked prefix, because a configuration may list a prefix only once. */
    private static List<ClientBlock> distinct(List<ClientBlock> blocks) {
        List<ClientBlock> distinct = new ArrayList<>();
        for (ClientBlock block : blocks) {
            CidrPrefix prefix = CidrPrefix.parse(block.cidr()).orElseThrow();
            boolean alreadyListed = distinct.stream()
                    .map(other -> CidrPrefix.parse(other.cidr()).orElseThrow())
                    .anyMatch(other -> other.lengthBits() == prefix.lengthBits()
                            && other.contains(CidrPrefix.parseAddress(block.cidr()
                                            .substring(0, block.cidr().indexOf('/')))
                                    .orElseThrow()));
            if (!alreadyListed) {
                distinct.add(block);
            }
        }
        return distinct;
    }

    private static String address(Random random) {
        return (10 + random.nextInt(2)) + "." + random.nextInt(3) + "." + random.nextInt(3) + "." + random.nextInt(256);
    }
}
