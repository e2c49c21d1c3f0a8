package org.galenahinge.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops the entry that was not used for longest when it is full. Not thread-safe. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maximum;

    BoundedMap(int maximum) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maximum = maximum;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maximum;
    }
}
