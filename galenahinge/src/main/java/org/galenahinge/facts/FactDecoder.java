package org.galenahinge.facts;

/** Turns an item of the store into what it means. */
@FunctionalInterface
public interface FactDecoder {
    /**
     * Decodes an item. Never throws: an item that cannot be read is a fact too.
     *
     * @param item the item
     * @return what it means
     */
    Fact decode(FactItem item);
}
