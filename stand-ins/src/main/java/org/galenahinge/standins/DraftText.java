package org.galenahinge.standins;

import java.nio.charset.StandardCharsets;

/**
 * Derives the text of a draft from its prompt, so that a caller can check that a response is complete and belongs to
 * its own request.
 */
public final class DraftText {
    private static final String[] WORDS = {
        "board", "border", "bone", "horn", "shell", "motif", "cedar", "brass", "verse", "toast", "card", "ribbon"
    };

    private DraftText() {}

    /**
     * Returns one token of the draft for a prompt.
     *
     * @param prompt the prompt: the contents of all messages, joined by new lines
     * @param index the token's position, from 0
     * @return the token, followed by a space
     */
    public static String token(String prompt, int index) {
        long hash = 7;
        for (byte character : prompt.getBytes(StandardCharsets.UTF_8)) {
            hash = hash * 31 + character;
        }
        long mixed = (hash + index * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return WORDS[(int) Math.floorMod(mixed >>> 20, (long) WORDS.length)] + Long.toHexString(mixed >>> 52) + " ";
    }

    /**
     * Returns the complete text of the draft for a prompt.
     *
     * @param prompt the prompt: the contents of all messages, joined by new lines
     * @param tokens the number of tokens in the draft
     * @return the text
     */
    public static String completeText(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < tokens; index++) {
            text.append(token(prompt, index));
        }
        return text.toString();
    }
}
