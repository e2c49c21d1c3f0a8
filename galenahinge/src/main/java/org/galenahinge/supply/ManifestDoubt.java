package org.galenahinge.supply;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the chunks that do not match the digests of a manifest. A single one was most likely damaged on its way; when
 * the same chunk fails again, read anew, the manifest may be what is damaged, and must be read again from another source.
 * Not thread-safe.
 */
final class ManifestDoubt {
    private static final int MISMATCHES_OF_A_CHUNK = 2;

    private final Map<Integer, Integer> mismatches = new HashMap<>();
    private int raised;

    /** Records that a chunk did not match; returns whether the manifest is to be read again. */
    boolean recordMismatch(int chunk) {
        if (mismatches.merge(chunk, 1, Integer::sum) < MISMATCHES_OF_A_CHUNK) {
            return false;
        }
        mismatches.clear();
        raised++;
        return true;
    }

    /** Returns how often the manifest was to be read again, so that another source can be chosen each time. */
    int timesRaised() {
        return raised;
    }
}
