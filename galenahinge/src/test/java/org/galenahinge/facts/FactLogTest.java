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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FactLogTest {
    private static final long LIFE = 7;
    private static final FactRank IN_USE = FactRank.ofLife(LIFE, 0);
    private static final FactRank LEAVING = FactRank.ofLife(LIFE, 1);

    private final FactLog log = FactLog.create(1);

    @Property(tries = 200, seed = "4711")
    void mergesReorderedRepeatedAndLostChangesToTheSameItems(@ForAll long seed) {
        Random random = new Random(seed);
        List<FactItem> changes = new ArrayList<>();
        for (long revision = 1; revision <= 60; revision++) {
            String key = "k" + random.nextInt(8);
            changes.add(random.nextInt(4) == 0 ? removed(key, revision) : item(key, revision));
        }
        FactLog ordered = FactLog.create(1);
        ordered.merge(changes, at(60));
        FactLog shuffled = FactLog.create(2);
        for (int round = 0; round < 3; round++) {
            Collections.shuffle(changes, random);
            shuffled.merge(changes.subList(0, 30 + random.nextInt(30)), StorePosition.NONE);
        }
        shuffled.merge(changes, at(60));
        assertThat(presentItems(shuffled)).isEqualTo(presentItems(ordered));
    }

    @Test
    void aSnapshotRemovesItemsThatItLacksExceptNewerOnes() {
        log.merge(List.of(item("old", 5), item("new", 12)), at(12));
        log.mergeSnapshot(List.of(item("other", 3)), at(10));
        assertThat(presentItems(log)).containsExactlyInAnyOrder(item("other", 3), item("new", 12));
    }

    /** Guards against removals that come before the changes of the same snapshot. */
    @Test
    void returnsTheChangesOfASnapshotOrderedByPosition() {
        log.merge(List.of(item("lacking", 5)), at(5));
        assertThat(log.mergeSnapshot(List.of(item("later", 8), item("earlier", 7)), at(10)))
                .containsExactly(item("earlier", 7), item("later", 8), removed("lacking", 10));
    }

    @Test
    void anOlderCopyDoesNotRestoreARemovedItem() {
        log.merge(List.of(item("key", 5)), at(5));
        log.merge(List.of(removed("key", 9)), at(9));
        assertThat(log.merge(List.of(item("key", 5)), at(5))).isEmpty();
        assertThat(presentItems(log)).isEmpty();
    }

    /** A reader that knows some changes of this log gets exactly the others, and is told at once if there are any. */
    @Property(tries = 200, seed = "4711")
    void tellsAReaderExactlyWhatItDoesNotKnow(@ForAll long seed) {
        Random random = new Random(seed);
        FactLog relay = FactLog.create(3);
        List<FactCursor> cursors = new ArrayList<>();
        for (long revision = 1; revision <= 40; revision++) {
            cursors.add(relay.changesAfter(FactCursor.START).cursor());
            String key = "k" + random.nextInt(4);
            FactItem change = random.nextBoolean() ? removed(key, revision) : item(key, revision);
            relay.merge(random.nextInt(3) == 0 ? List.of() : List.of(change), at(revision));
            for (FactCursor reader : cursors) {
                FactLog.Changes changes = relay.changesAfter(reader);
                assertThat(relay.hasChangesAfter(reader))
                        .isEqualTo(!changes.items().isEmpty());
                assertThat(changes.items())
                        .allMatch(item -> item.revision() > reader.position().revision());
            }
        }
    }

    @Test
    void returnsASnapshotIfRemovalsMayHaveBeenDropped() {
        for (int number = 0; number < FactLog.MAXIMUM_REMOVALS + 10; number++) {
            log.merge(List.of(removed("k" + number, number + 1)), at(number + 1));
        }
        assertThat(log.changesAfter(FactCursor.at(at(3))).snapshot()).isTrue();
        assertThat(log.changesAfter(FactCursor.at(at(FactLog.MAXIMUM_REMOVALS))).snapshot())
                .isFalse();
        assertThat(log.changesAfter(new FactCursor(at(3), 1, 3)).snapshot()).isTrue();
        assertThat(log.changesAfter(new FactCursor(at(3), 1, FactLog.MAXIMUM_REMOVALS))
                        .snapshot())
                .isFalse();
    }

    /** Guards against changes that are lost because their revisions were given out before the store was restored. */
    @ParameterizedTest
    @ValueSource(longs = {11, 14, 15})
    void takesAChangeUnderARevisionThatWasGivenOutBefore(long revision) {
        log.merge(List.of(item("key", 10), item("lost", 14)), at(14));
        log.mergeSnapshot(List.of(item("key", 10, 2)), new StorePosition(2, 10));
        log.merge(List.of(item("key", revision, 2)), new StorePosition(2, revision));
        assertThat(log.present()).containsExactly(item("key", revision, 2));
        assertThat(log.position()).isEqualTo(new StorePosition(2, revision));
    }

    /** Guards against a version that goes back because an older copy was read, from the store or from another node. */
    @Test
    void keepsAVersionThatTheRestoredStoreLacks() {
        log.merge(List.of(version(4, 9, 1)), at(9));
        log.merge(List.of(version(8, 14, 1)), at(14));
        assertThat(log.mergeSnapshot(List.of(version(4, 9, 2)), new StorePosition(2, 11)))
                .isEmpty();
        FactLog started = FactLog.create(2);
        started.mergeSnapshot(List.of(version(4, 9, 2)), new StorePosition(2, 11));
        FactLog.Changes told = log.changesAfter(FactCursor.at(started.position()));
        assertThat(told.snapshot()).isFalse();
        started.merge(told.items(), told.cursor().position());
        assertThat(started.present()).isEqualTo(log.present());
        assertThat(log.retained()).isOne();
        log.merge(List.of(version(8, 12, 2)), new StorePosition(2, 12));
        assertThat(log.retained()).isZero();
    }

    /** Guards against requests to an upstream that leaves, whose record the store holds as it was before. */
    @Test
    void keepsWhatAnUpstreamSaidOfItselfLast() {
        log.merge(List.of(item("up", 9).withRank(IN_USE)), at(9));
        log.merge(List.of(item("up", 12).withRank(LEAVING)), at(12));
        assertThat(log.mergeSnapshot(List.of(item("up", 9, 2).withRank(IN_USE)), new StorePosition(2, 11)))
                .isEmpty();
        assertThat(log.present().get(0).rank()).contains(LEAVING);
        FactLog other = FactLog.create(2);
        other.mergeSnapshot(List.of(item("up", 9, 2).withRank(IN_USE)), new StorePosition(2, 11));
        other.merge(log.changesAfter(FactCursor.at(other.position())).items(), new StorePosition(2, 11));
        assertThat(other.present().get(0).rank()).contains(LEAVING);
    }

    @Test
    void keepsTheRemovalOfWhatTheRestoredStoreHoldsAgain() {
        log.merge(List.of(item("up", 9)), at(9));
        log.merge(List.of(removed("up", 12)), at(12));
        log.mergeSnapshot(List.of(item("up", 9, 2)), new StorePosition(2, 11));
        assertThat(log.present()).isEmpty();
        log.merge(List.of(item("up", 12, 2)), new StorePosition(2, 12));
        assertThat(log.present()).containsExactly(item("up", 12, 2));
    }

    /**
     * Guards against an upstream that is never used again: its record expired while it did not reach the store, the store
     * was restored from a copy that holds the record, and the upstream has nothing new to write.
     */
    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void takesBackWhatTheStoreStillHoldsLongAfter(long settledRevision) {
        FactItem copy = item("up", 9, 2).withRank(IN_USE);
        FactItem leftCopy = item("left", 8, 2).withRank(IN_USE);
        log.merge(List.of(item("up", 9).withRank(IN_USE), item("left", 8).withRank(IN_USE)), at(9));
        log.merge(List.of(item("left", 10).withRank(LEAVING)), at(10));
        log.merge(List.of(removed("up", 12), removed("left", 13)), at(13));
        log.mergeSnapshot(List.of(copy, leftCopy), new StorePosition(2, 11));
        FactLog reader = FactLog.create(2);
        FactLog.Changes all = log.changesAfter(FactCursor.START);
        reader.mergeSnapshot(all.items(), all.cursor().position());
        assertThat(log.present()).isEmpty();

        log.mergeSettledSnapshot(List.of(copy, leftCopy), new StorePosition(2, settledRevision));
        reader.merge(log.changesAfter(all.cursor()).items(), log.position());
        assertThat(log.present()).extracting(FactItem::key).containsExactly("up");
        assertThat(reader.present()).extracting(FactItem::key).containsExactly("up");
        assertThat(log.hasRetainedRemovals()).isTrue();
        log.merge(List.of(FactItem.removed("left", new StorePosition(2, 13))), new StorePosition(2, 13));
        assertThat(log.hasRetainedRemovals()).isFalse();
    }

    /** A late answer of a node that has not heard of the loss does not bring back what nobody has written again. */
    @Test
    void doesNotBringBackWhatTheRestoredStoreLacks() {
        log.merge(List.of(item("other", 8)), at(8));
        log.mergeSnapshot(List.of(item("other", 8, 2)), new StorePosition(2, 11));
        log.merge(List.of(item("lost", 12)), at(12));
        assertThat(log.present()).containsExactly(item("other", 8, 2));
    }

    /**
     * Guards against an instruction that ends because the store was restored from a copy without it, here, at a node that
     * started on the copy, and at the next snapshot.
     */
    @Test
    void keepsAnInstructionThatTheRestoredStoreLacks() {
        log.merge(List.of(item("other", 8), instruction(12, 1)), at(12));
        StorePosition restored = new StorePosition(2, 11);
        assertThat(log.mergeSnapshot(List.of(item("other", 8, 2)), restored)).isEmpty();
        log.mergeSnapshot(List.of(item("other", 8, 2)), new StorePosition(2, 14));
        log.mergeSettledSnapshot(List.of(item("other", 8, 2)), new StorePosition(2, 15));
        assertThat(log.present()).extracting(FactItem::key).contains("instruction");
        FactLog started = FactLog.create(2);
        started.mergeSnapshot(List.of(item("other", 8, 2)), restored);
        FactLog.Changes told = log.changesAfter(FactCursor.at(started.position()));
        started.merge(told.items(), told.cursor().position());
        assertThat(started.present()).extracting(FactItem::key).contains("instruction");
        log.merge(List.of(instruction(16, 2)), new StorePosition(2, 16));
        FactItem removal = FactItem.removed("instruction", new StorePosition(2, 17));
        assertThat(log.merge(List.of(removal), removal.position())).hasSize(1);
        assertThat(log.present()).extracting(FactItem::key).doesNotContain("instruction");
    }

    /** Guards against the loss of an instruction whose holder has not heard of the restore. */
    @Test
    void takesAnInstructionOfANodeThatHasNotHeardOfTheRestore() {
        log.mergeSnapshot(List.of(item("other", 8, 2)), new StorePosition(2, 11));
        log.merge(List.of(instruction(12, 1)), at(12));
        assertThat(log.present()).extracting(FactItem::key).contains("instruction");
    }

    /** Guards against an instruction that never ends at a node that missed its removal. */
    @Test
    void endsAnInstructionThatASnapshotOfTheSameStoreLacks() {
        log.merge(List.of(instruction(5, 1)), at(5));
        assertThat(log.mergeSnapshot(List.of(), at(9))).containsExactly(removed("instruction", 9));
        FactItem writtenAfterRestore = instruction(12, 2);
        log.mergeSnapshot(List.of(writtenAfterRestore), new StorePosition(2, 12));
        assertThat(log.present()).containsExactly(writtenAfterRestore);
        log.mergeSnapshot(List.of(), new StorePosition(2, 14));
        assertThat(log.present()).isEmpty();
    }

    /** Guards against an evacuation that has ended and begins again by itself with a restore from an older copy. */
    @Test
    void keepsTheEndOfAnInstructionThatTheRestoredStoreHoldsAgain() {
        log.merge(List.of(instruction(5, 1)), at(5));
        log.merge(List.of(removed("instruction", 9)), at(9));
        assertThat(log.mergeSnapshot(List.of(instruction(5, 2)), new StorePosition(2, 7)))
                .isEmpty();
        assertThat(log.merge(List.of(instruction(8, 2)), new StorePosition(2, 8)))
                .hasSize(1);
    }

    private static FactItem instruction(long revision, long epoch) {
        return item("instruction", revision, epoch).withRank(FactRank.ofInstruction());
    }

    private static Set<FactItem> presentItems(FactLog items) {
        return new HashSet<>(items.present());
    }

    private static StorePosition at(long revision) {
        return new StorePosition(1, revision);
    }

    private static FactItem removed(String key, long revision) {
        return FactItem.removed(key, at(revision));
    }

    private static FactItem item(String key, long revision) {
        return item(key, revision, 1);
    }

    private static FactItem item(String key, long revision, long epoch) {
        return FactItem.written(
                key, (key + revision).getBytes(StandardCharsets.UTF_8), new StorePosition(epoch, revision));
    }

    private static FactItem version(long number, long revision, long epoch) {
        byte[] value = Long.toString(number).getBytes(StandardCharsets.UTF_8);
        return FactItem.written("version", value, new StorePosition(epoch, revision))
                .withRank(FactRank.ofVersion(number));
    }
}
