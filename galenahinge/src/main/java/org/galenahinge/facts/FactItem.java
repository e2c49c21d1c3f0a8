package org.galenahinge.facts;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/** An encoded item of the store, or the removal of one. Immutable; callers must not change its bytes. */
public final class FactItem {
    private static final byte[] NO_BYTES = new byte[0];

    /** Every revision below that of the item may be that of an earlier change of its key. */
    private static final long PREVIOUS_UNKNOWN = -1;

    private final String key;
    private final byte[] value;
    private final StorePosition position;
    private final long previousRevision;
    private final boolean removed;
    private final Optional<FactRank> rank;

    private FactItem(
            String key,
            byte[] value,
            StorePosition position,
            long previousRevision,
            boolean removed,
            Optional<FactRank> rank) {
        this.key = Objects.requireNonNull(key, "key");
        this.value = Objects.requireNonNull(value, "value");
        this.position = Objects.requireNonNull(position, "position");
        this.previousRevision = previousRevision;
        this.removed = removed;
        this.rank = Objects.requireNonNull(rank, "rank");
    }

    /**
     * Creates an item that was written to the store.
     *
     * @param key its key
     * @param value its bytes
     * @param position the store's position of the write
     * @return the item, without a rank
     */
    public static FactItem written(String key, byte[] value, StorePosition position) {
        return new FactItem(key, value, position, PREVIOUS_UNKNOWN, false, Optional.empty());
    }

    /**
     * Creates the removal of an item.
     *
     * @param key its key
     * @param position the store's position of the removal
     * @return the item, without a rank
     */
    public static FactItem removed(String key, StorePosition position) {
        return new FactItem(key, NO_BYTES, position, PREVIOUS_UNKNOWN, true, Optional.empty());
    }

    /**
     * Returns this item with a rank. An item without one takes that of the item that it replaces.
     *
     * @param newRank the order that the fact has by itself
     * @return the item with the rank
     */
    public FactItem withRank(FactRank newRank) {
        return new FactItem(key, value, position, previousRevision, removed, Optional.of(newRank));
    }

    /**
     * Returns this item with the revision of the change before it.
     *
     * @param revision the highest revision that an earlier change of the key may have
     * @return the item
     */
    public FactItem withPreviousRevision(long revision) {
        return new FactItem(key, value, position, revision, removed, rank);
    }

    /**
     * Returns the key.
     *
     * @return the key
     */
    public String key() {
        return key;
    }

    /**
     * Returns the value.
     *
     * @return its bytes, which must not be changed; empty if the item was removed
     */
    public byte[] value() {
        return value;
    }

    /**
     * Returns the store's position of the change.
     *
     * @return the position
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns the store's revision of the change.
     *
     * @return the revision
     */
    public long revision() {
        return position.revision();
    }

    /**
     * Returns the highest revision that an earlier change of the key may have.
     *
     * @return the revision
     */
    public long previousRevision() {
        return previousRevision == PREVIOUS_UNKNOWN ? position.revision() - 1 : previousRevision;
    }

    /**
     * Tells whether the change removed the item.
     *
     * @return whether it is a removal
     */
    public boolean removed() {
        return removed;
    }

    /**
     * Returns the order that the fact has by itself.
     *
     * @return the rank, or empty if only the position orders it
     */
    public Optional<FactRank> rank() {
        return rank;
    }

    /** Tells whether the fact never ends, so that an item that the store lacks is kept. */
    boolean isPermanent() {
        return rank.filter(FactRank::permanent).isPresent();
    }

    /** Tells whether the fact is kept when the store is restored from a copy without it. */
    boolean outlivesRestore() {
        return rank.filter(FactRank::outlivesRestore).isPresent();
    }

    /**
     * Tells whether this item was kept over an older copy that the store was restored from, and has not been written
     * since.
     */
    boolean isRetained() {
        return previousRevision() >= position.revision();
    }

    /** Tells whether both say the same, at whatever position. */
    boolean describesSame(FactItem other) {
        return removed == other.removed && Arrays.equals(value, other.value);
    }

    /** Tells whether this item is newer than another one of the same key. */
    boolean supersedes(FactItem other) {
        int stages = compareStage(other);
        if (stages != 0) {
            return stages > 0;
        }
        if (position.epoch() > other.position.epoch()) {
            return !isOlderCopyOf(other);
        }
        if (position.epoch() < other.position.epoch()) {
            return other.isOlderCopyOf(this);
        }
        boolean keptOver = previousRevision() > other.previousRevision() && !describesSame(other);
        return revision() > other.revision() || (revision() == other.revision() && keptOver);
    }

    /**
     * Returns this item as the one that replaces another: with the rank of that one if it has none, and with its revision
     * as the previous one.
     */
    FactItem replacing(FactItem replaced, boolean nothingBetween) {
        Optional<FactRank> newRank = rank.or(() -> replaced.rank);
        return new FactItem(key, value, position, previousRevisionAfter(replaced, nothingBetween), removed, newRank);
    }

    /** Returns this item as one that is kept when the store was restored from a copy that does not hold it. */
    FactItem retainedAt(StorePosition restored) {
        long revision = Math.min(position.revision(), restored.revision());
        return new FactItem(key, value, new StorePosition(restored.epoch(), revision), revision, removed, rank);
    }

    /** Returns this item as one that the restored store still holds long after, in place of a removal that was retained. */
    FactItem confirmedAt(StorePosition read) {
        return new FactItem(key, value, read, read.revision() + 1, removed, rank);
    }

    /** Tells whether this item says less of the same life than another one, such as that an upstream is not leaving. */
    boolean isEarlierStageOf(FactItem other) {
        return compareStage(other) < 0;
    }

    private int compareStage(FactItem other) {
        return rank.isPresent() && other.rank.isPresent() ? rank.get().compareStage(other.rank.get()) : 0;
    }

    /**
     * Tells whether this is what the store held before another change, so that the store has been restored from a copy.
     * What was written since has a revision after that of the change before the other one. A copy holds no removals.
     */
    private boolean isOlderCopyOf(FactItem newer) {
        boolean laterLife = rank.isPresent()
                && newer.rank.isPresent()
                && rank.get().lineage() > newer.rank.get().lineage();
        return !removed && !laterLife && revision() <= newer.previousRevision();
    }

    private long previousRevisionAfter(FactItem replaced, boolean nothingBetween) {
        if (revision() == replaced.revision() && describesSame(replaced)) {
            return Math.min(previousRevision(), replaced.previousRevision());
        }
        boolean follows = nothingBetween && previousRevision == PREVIOUS_UNKNOWN;
        boolean sameEpoch = position.epoch() == replaced.position.epoch();
        return follows && sameEpoch ? Math.min(replaced.revision(), revision() - 1) : previousRevision();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FactItem item
                && key.equals(item.key)
                && position.equals(item.position)
                && removed == item.removed
                && Arrays.equals(value, item.value);
    }

    @Override
    public int hashCode() {
        return Objects.hash(key, position, removed);
    }

    @Override
    public String toString() {
        return key + "@" + position + (removed ? " removed" : "");
    }
}
