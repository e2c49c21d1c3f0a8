package org.galenahinge.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * A part of a prompt that several requests may share. Of a fixed size, however long its name is.
 *
 * @param id identifies the part
 */
public record PromptPart(long id) {
    private static final int MAXIMUM_HEXADECIMAL_DIGITS = 16;
    private static final int HEXADECIMAL = 16;

    /**
     * Returns the part with a name.
     *
     * @param name a hexadecimal number of at most 64 bits, which becomes the id, or any other text, whose hash becomes the id
     * @return the part
     */
    public static PromptPart of(String name) {
        Objects.requireNonNull(name, "name");
        if (!name.isEmpty() && name.length() <= MAXIMUM_HEXADECIMAL_DIGITS) {
            try {
                return new PromptPart(Long.parseUnsignedLong(name, HEXADECIMAL));
            } catch (NumberFormatException e) {
                return hashed(name);
            }
        }
        return hashed(name);
    }

    private static PromptPart hashed(String name) {
        return new PromptPart(
                Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong());
    }

    /**
     * Returns the ids of parts as text for logs.
     *
     * @param parts the parts
     * @return the ids, separated by commas
     */
    public static String join(Collection<PromptPart> parts) {
        return parts.stream().map(PromptPart::toString).collect(Collectors.joining(","));
    }

    /** Returns the id as a hexadecimal number. */
    @Override
    public String toString() {
        return Long.toHexString(id);
    }
}
