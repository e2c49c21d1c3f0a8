package org.galenahinge.standins;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounded cache of the prompt prefixes that an engine has processed. A prefix is kept as blocks of tokens; the least
 * recently used blocks are evicted first.
 */
final class PrefixCache {
    private static final int BLOCK_TOKENS = 16;

    private final int maximumBlocks;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private long hitTokens;

    PrefixCache(int maximumTokens) {
        this.maximumBlocks = maximumTokens / BLOCK_TOKENS;
    }

    /** Returns the length, in tokens, of the longest cached prefix of a prompt, and adds it to {@link #hitTokens}. */
    int lookUp(List<String> tokens) {
        int cachedTokens = 0;
        long key = 0;
        for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
            key = extend(key, tokens, end);
            if (blocks.get(key) == null) {
                break;
            }
            cachedTokens = end;
        }
        hitTokens += cachedTokens;
        return cachedTokens;
    }

    void add(List<String> tokens) {
        long key = 0;
        for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
            key = extend(key, tokens, end);
            blocks.put(key, Boolean.TRUE);
        }
        while (blocks.size() > maximumBlocks) {
            Map.Entry<Long, Boolean> leastRecentlyUsed =
                    blocks.entrySet().iterator().next();
            blocks.remove(leastRecentlyUsed.getKey());
        }
    }

    long hitTokens() {
        return hitTokens;
    }

    void clear() {
        blocks.clear();
    }

    /** Returns the key of the block that ends at {@code end}, given the key of the block before it. */
    private static long extend(long previousKey, List<String> tokens, int end) {
        long extended = previousKey;
        for (int index = end - BLOCK_TOKENS; index < end; index++) {
            extended = extended * 1_099_511_628_211L + tokens.get(index).hashCode();
        }
        return extended;
    }
}
