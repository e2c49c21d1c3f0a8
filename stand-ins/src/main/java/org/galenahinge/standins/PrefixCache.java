package org.galenahinge.standins;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Holds the prompt prefixes that an engine has read, block by block, within a bound, the least recently used going first. */
final class PrefixCache {
    private static final int BLOCK_TOKENS = 16;

    private final int maximumBlocks;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private long hitTokens;

    PrefixCache(int maximumTokens) {
        this.maximumBlocks = maximumTokens / BLOCK_TOKENS;
    }

    /** How many tokens from the beginning of a prompt are held. */
    int hit(List<String> tokens) {
        int hit = 0;
        long key = 0;
        for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
            key = extend(key, tokens, end);
            if (blocks.get(key) == null) {
                break;
            }
            hit = end;
        }
        hitTokens += hit;
        return hit;
    }

    void add(List<String> tokens) {
        long key = 0;
        for (int end = BLOCK_TOKENS; end <= tokens.size(); end += BLOCK_TOKENS) {
            key = extend(key, tokens, end);
            blocks.put(key, Boolean.TRUE);
        }
        while (blocks.size() > maximumBlocks) {
            Map.Entry<Long, Boolean> oldest = blocks.entrySet().iterator().next();
            blocks.remove(oldest.getKey());
        }
    }

    long hitTokens() {
        return hitTokens;
    }

    void clear() {
        blocks.clear();
    }

    private static long extend(long key, List<String> tokens, int end) {
        long extended = key;
        for (int index = end - BLOCK_TOKENS; index < end; index++) {
            extended = extended * 1_099_511_628_211L + tokens.get(index).hashCode();
        }
        return extended;
    }
}
