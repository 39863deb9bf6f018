package org.bulrushwheel.logic.raft;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.bulrushwheel.model.proto.Voters;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LostVoterRemovalTest {
    private static List<String> names(int from, int to) {
        return IntStream.range(from, to).mapToObj(index -> "v" + index).toList();
    }

    /** Returns how many responsive voters may still be lost until no majority is left. */
    private static int bearableLosses(int voters, int responsive) {
        return responsive - (voters / 2 + 1);
    }

    @ParameterizedTest
    @CsvSource({"9, 1", "9, 2", "9, 4", "6, 1", "6, 2", "5, 1", "5, 2", "4, 1"})
    void removalNeverLowersTheNumberOfFurtherLossesThatCanBeBorne(int voters, int lost) {
        Voters all = Voters.newBuilder().addAllVoters(names(0, voters)).build();
        Optional<Voters> change = LostVoterRemoval.nextChange(all, names(0, lost));
        assertTrue(change.isPresent());
        assertEquals(names(1, voters), change.get().getVotersList());
        int before = bearableLosses(voters, voters - lost);
        assertTrue(bearableLosses(voters - 1, voters - lost) >= before);
    }

    @ParameterizedTest
    @CsvSource({"9, 5", "6, 3", "5, 3", "4, 2", "3, 1", "9, 0"})
    void noVoterIsRemovedWithoutAMajorityOrBelowThree(int voters, int lost) {
        Voters all = Voters.newBuilder().addAllVoters(names(0, voters)).build();
        assertEquals(Optional.empty(), LostVoterRemoval.nextChange(all, names(0, lost)));
    }
}
