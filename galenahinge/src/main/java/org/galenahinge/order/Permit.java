package org.galenahinge.order;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Names one call that may run at most once. Callers carry its text as their idempotency key.
 *
 * @param owner the VM whose slot process issued it
 * @param incarnation the incarnation of that process
 * @param sequence its number within the incarnation, from 1
 * @param tag proof that the owner issued it
 */
public record Permit(String owner, long incarnation, long sequence, String tag) {
    private static final Pattern FORMAT =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]{0,62})~([0-9a-f]{1,16})~([0-9a-f]{1,16})~([0-9a-f]{16})");
    private static final int HEXADECIMAL = 16;

    /** Checks the parts. */
    public Permit {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(tag, "tag");
    }

    /**
     * Reads a permit from an idempotency key.
     *
     * @param text the key
     * @return the permit, or empty when the text is not one
     */
    public static Optional<Permit> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new Permit(
                matcher.group(1),
                Long.parseUnsignedLong(matcher.group(2), HEXADECIMAL),
                Long.parseUnsignedLong(matcher.group(3), HEXADECIMAL),
                matcher.group(4)));
    }

    /**
     * Returns the text that callers carry.
     *
     * @return the idempotency key
     */
    public String text() {
        return String.format(Locale.ROOT, "%s~%x~%x~%s", owner, incarnation, sequence, tag);
    }
}
