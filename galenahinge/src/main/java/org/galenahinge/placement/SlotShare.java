package org.galenahinge.placement;

/**
 * An entry's share of the free slots in a load report. A slot process sends a report to several entries at once and gives
 * each another position, so that together they send no more requests than there are free slots. Positions rotate with
 * each report.
 *
 * @param position the entry's position among those that got the report, from 0
 * @param receivers how many entries got the report, 0 if the report does not say
 * @param withheld how many slots became free since the report before; they are left to the entries whose requests had
 *     them, which may have sent others already
 */
public record SlotShare(int position, int receivers, int withheld) {
    /** The share of a report that does not say how the free slots are shared. */
    public static final SlotShare UNKNOWN = new SlotShare(0, 0, 0);

    /** Rejects negative numbers and a position outside the receivers. */
    public SlotShare {
        if (position < 0 || receivers < 0 || withheld < 0 || (receivers > 0 && position >= receivers)) {
            throw new IllegalArgumentException(
                    "position " + position + " of " + receivers + " receivers, " + withheld + " withheld");
        }
    }

    /**
     * Returns whether the report says how the free slots are shared.
     *
     * @return whether the number of receivers is known
     */
    public boolean isKnown() {
        return receivers > 0;
    }

    /**
     * Returns how many of the free slots are for this entry. Over all receivers the sum is the number of free slots that
     * are not withheld.
     *
     * @param freeSlots the number of free slots
     * @return the number of slots, 0 if the share is not known
     */
    public int of(int freeSlots) {
        int shared = freeSlots - withheld;
        if (!isKnown() || shared <= 0) {
            return 0;
        }
        return shared / receivers + (position < shared % receivers ? 1 : 0);
    }
}
