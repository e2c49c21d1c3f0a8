package org.galenahinge.facts;

/** Decodes items of the store into facts. */
@FunctionalInterface
public interface FactDecoder {
    /**
     * Decodes an item. Never throws: an item that cannot be decoded yields {@link Fact.Unreadable}.
     *
     * @param item the item
     * @return the fact
     */
    Fact decode(FactItem item);
}
