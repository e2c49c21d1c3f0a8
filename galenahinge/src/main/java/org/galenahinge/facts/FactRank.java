package org.galenahinge.facts;

import java.util.Objects;

/**
 * The order that facts about one key have by themselves, whatever the position at which the store holds them. A
 * configuration has its version; an upstream that is leaving does not return within the same life. The rank also tells
 * what a snapshot without the item means.
 *
 * @param lineage what the stages belong to, such as one life of an upstream; stages of different lineages have no order
 * @param stage never decreases within a lineage
 * @param permanent whether the fact never ends, so that an item that the store lacks is kept
 */
public record FactRank(long lineage, long stage, boolean permanent) {
    private static final long ONLY_LINEAGE = 0;

    /**
     * Returns the rank of a fact that only a higher version replaces.
     *
     * @param version the version, above 0; 0 for an item that cannot be decoded
     * @return the rank
     */
    public static FactRank ofVersion(long version) {
        return new FactRank(ONLY_LINEAGE, version, true);
    }

    /**
     * Returns the rank of a fact about something that starts and ends.
     *
     * @param lineage identifies its life; a later one has a higher number
     * @param stage the stage of this life that it has reached
     * @return the rank
     */
    public static FactRank ofLife(long lineage, long stage) {
        return new FactRank(lineage, stage, false);
    }

    /**
     * Returns the rank of an instruction of the operators that they end by removing its item. Nobody writes it again by
     * itself, so that it is kept when the store is restored from a copy without it.
     *
     * @return the rank
     */
    public static FactRank ofInstruction() {
        return new FactRank(ONLY_LINEAGE, 0, false);
    }

    /** Tells whether the fact is kept when the store is restored from a copy without it. */
    boolean outlivesRestore() {
        return permanent || lineage == ONLY_LINEAGE;
    }

    /**
     * Compares the stages that two facts have reached.
     *
     * @param other the rank of the other fact
     * @return a positive number if this one has come further, a negative one if the other has, 0 if it cannot be told
     */
    int compareStage(FactRank other) {
        Objects.requireNonNull(other, "other");
        return lineage == other.lineage ? Long.compare(stage, other.stage) : 0;
    }
}
