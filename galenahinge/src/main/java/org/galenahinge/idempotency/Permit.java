package org.galenahinge.idempotency;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies one request that may run at most once. Callers send its text as their idempotency key.
 *
 * @param owner the VM whose slot process issued it
 * @param incarnation the incarnation of that slot process
 * @param sequence the number of the permit within the incarnation, from 1
 * @param tag proof that the owner issued it: the first 16 hexadecimal digits of its HMAC of the sequence number
 */
public record Permit(String owner, long incarnation, long sequence, String tag) {
    private static final Pattern FORMAT =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,62})~([0-9a-f]{1,16})~([0-9a-f]{1,16})~([0-9a-f]{16})");
    private static final int HEXADECIMAL_RADIX = 16;

    public Permit {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(tag, "tag");
    }

    /**
     * Parses a permit from an idempotency key.
     *
     * @param text the key
     * @return the permit, or empty if the text is not in the format of a permit
     */
    public static Optional<Permit> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Permit(
                matcher.group(1),
                Long.parseUnsignedLong(matcher.group(2), HEXADECIMAL_RADIX),
                Long.parseUnsignedLong(matcher.group(3), HEXADECIMAL_RADIX),
                matcher.group(4)));
    }

    /**
     * Returns the permit as text, which {@link #parse} reads.
     *
     * @return the idempotency key
     */
    public String text() {
        return String.format(Locale.ROOT, "%s~%x~%x~%s", owner, incarnation, sequence, tag);
    }
}
