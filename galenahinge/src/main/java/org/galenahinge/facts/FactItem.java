package org.galenahinge.facts;

import java.util.Arrays;
import java.util.Objects;

/** An encoded item of the store, or the removal of one. Immutable; callers must not change its bytes. */
public final class FactItem {
    private static final byte[] NO_BYTES = new byte[0];

    private final String key;
    private final byte[] value;
    private final long revision;
    private final boolean removed;

    private FactItem(String key, byte[] value, long revision, boolean removed) {
        this.key = Objects.requireNonNull(key, "key");
        this.value = Objects.requireNonNull(value, "value");
        this.revision = revision;
        this.removed = removed;
    }

    /**
     * Creates an item that was written to the store.
     *
     * @param key its key
     * @param value its bytes
     * @param revision the store's revision of the write
     * @return the item
     */
    public static FactItem written(String key, byte[] value, long revision) {
        return new FactItem(key, value, revision, false);
    }

    /**
     * Creates the removal of an item.
     *
     * @param key its key
     * @param revision the store's revision of the removal
     * @return the item
     */
    public static FactItem removed(String key, long revision) {
        return new FactItem(key, NO_BYTES, revision, true);
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
     * Returns the store's revision of the change.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Tells whether the change removed the item.
     *
     * @return whether it is a removal
     */
    public boolean removed() {
        return removed;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FactItem item
                && key.equals(item.key)
                && revision == item.revision
                && removed == item.removed
                && Arrays.equals(value, item.value);
    }

    @Override
    public int hashCode() {
        return Objects.hash(key, revision, removed);
    }

    @Override
    public String toString() {
        return key + "@" + revision + (removed ? " removed" : "");
    }
}
