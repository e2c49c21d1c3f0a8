package org.galenahinge.facts;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class FactLogTest {
    @Property(tries = 200, seed = "4711")
    void mergesReorderedRepeatedAndLostChangesToTheSameItems(@ForAll long seed) {
        Random random = new Random(seed);
        List<FactItem> changes = new ArrayList<>();
        for (long revision = 1; revision <= 60; revision++) {
            String key = "k" + random.nextInt(8);
            changes.add(random.nextInt(4) == 0 ? FactItem.removed(key, revision) : item(key, revision));
        }
        FactLog ordered = new FactLog();
        ordered.merge(changes, 60);
        FactLog shuffled = new FactLog();
        for (int round = 0; round < 3; round++) {
            Collections.shuffle(changes, random);
            shuffled.merge(changes.subList(0, 30 + random.nextInt(30)), 0);
        }
        shuffled.merge(changes, 60);
        assertThat(presentItems(shuffled)).isEqualTo(presentItems(ordered));
    }

    @Test
    void aSnapshotRemovesItemsThatItLacksExceptNewerOnes() {
        FactLog log = new FactLog();
        log.merge(List.of(item("old", 5), item("new", 12)), 12);
        log.mergeSnapshot(List.of(item("other", 3)), 10);
        assertThat(presentItems(log)).containsExactlyInAnyOrder(item("other", 3), item("new", 12));
    }

    @Test
    void anOlderCopyDoesNotRestoreARemovedItem() {
        FactLog log = new FactLog();
        log.merge(List.of(item("key", 5)), 5);
        log.merge(List.of(FactItem.removed("key", 9)), 9);
        assertThat(log.merge(List.of(item("key", 5)), 5)).isEmpty();
        assertThat(presentItems(log)).isEmpty();
    }

    /** Many readers wait at a relay and each is asked after each read of the store. */
    @Property(tries = 200, seed = "4711")
    void tellsAtAnyRevisionWhetherThereAreChanges(@ForAll long seed) {
        Random random = new Random(seed);
        FactLog log = new FactLog();
        for (long revision = 1; revision <= 40; revision++) {
            String key = "k" + random.nextInt(4);
            FactItem change = random.nextBoolean() ? FactItem.removed(key, revision) : item(key, revision);
            log.merge(random.nextInt(3) == 0 ? List.of() : List.of(change), revision);
            for (long after = 0; after <= revision; after++) {
                assertThat(log.hasChangesAfter(after))
                        .isEqualTo(!log.changesAfter(after).items().isEmpty());
            }
        }
    }

    @Test
    void returnsASnapshotIfRemovalsMayHaveBeenDropped() {
        FactLog log = new FactLog();
        for (int number = 0; number < FactLog.MAXIMUM_REMOVALS + 10; number++) {
            log.merge(List.of(FactItem.removed("k" + number, number + 1)), number + 1);
        }
        assertThat(log.changesAfter(3).snapshot()).isTrue();
        assertThat(log.changesAfter(FactLog.MAXIMUM_REMOVALS).snapshot()).isFalse();
    }

    private static Set<FactItem> presentItems(FactLog log) {
        return new HashSet<>(log.changesAfter(0).items());
    }

    private static FactItem item(String key, long revision) {
        return FactItem.written(key, (key + revision).getBytes(StandardCharsets.UTF_8), revision);
    }
}
