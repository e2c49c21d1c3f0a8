package org.galenahinge.order;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Issues permits for calls that may not be repeated and makes sure that each runs at most once.
 *
 * <p>A permit names its owner, the owner's incarnation and a sequence number. It runs only at its owner, in that
 * incarnation, once. No clock is used: a permit that has fallen out of the window is answered as "may have run",
 * never forgotten. Belongs to one thread; kept in place rather than copied because the window is large.
 *
 * <p>Memory: O(window) records and at most {@code answerBytes} of kept answers. Each operation is O(1).
 *
 * @param <A> the type of the kept answers
 */
public final class PermitTable<A> {
    private static final int TAG_HEX_DIGITS = 16;

    private final String owner;
    private final long incarnation;
    private final HashFunction tagFunction;
    private final int window;
    private final long answerBytes;
    private final Map<Long, Entry<A>> records = new HashMap<>();
    private final Deque<Long> kept = new ArrayDeque<>();
    private long keptBytes;
    private long nextSequence = 1;

    private PermitTable(String owner, long incarnation, byte[] secret, int window, long answerBytes) {
        this.owner = owner;
        this.incarnation = incarnation;
        this.tagFunction = Hashing.hmacSha256(secret);
        this.window = window;
        this.answerBytes = answerBytes;
    }

    /**
     * Creates an empty table for a new incarnation.
     *
     * @param owner the own VM's name
     * @param incarnation a number that no earlier process of this VM has used
     * @param secret random bytes that no other process knows
     * @param window how many permits are remembered
     * @param answerBytes how many bytes of answers are kept
     * @param <A> the type of the kept answers
     * @return the table
     */
    public static <A> PermitTable<A> create(
            String owner, long incarnation, byte[] secret, int window, long answerBytes) {
        Objects.requireNonNull(owner, "owner");
        if (window < 1) {
            throw new IllegalArgumentException("window must be at least 1 permit: " + window);
        }
        return new PermitTable<>(owner, incarnation, secret.clone(), window, answerBytes);
    }

    /**
     * Issues a permit.
     *
     * @return the permit, or empty while the oldest permit of the window is still running
     */
    public Optional<Permit> issue() {
        long expired = nextSequence - window;
        Entry<A> oldest = records.get(expired);
        if (oldest != null && oldest.state == State.RUNNING) {
            return Optional.empty();
        }
        records.remove(expired);
        long sequence = nextSequence++;
        records.put(sequence, new Entry<>());
        return Optional.of(new Permit(owner, incarnation, sequence, tag(sequence)));
    }

    /**
     * Begins a call with a permit.
     *
     * @param permit the permit that came with the call
     * @return what to do with the call; only {@link Beginning.Run} lets it run
     */
    public Beginning<A> begin(Permit permit) {
        Objects.requireNonNull(permit, "permit");
        if (!permit.owner().equals(owner) || permit.incarnation() != incarnation) {
            return new Beginning.OutcomeUnknown<>("the process that issued this key is gone");
        }
        if (!isGenuine(permit)) {
            return new Beginning.Forged<>();
        }
        Entry<A> entry = records.get(permit.sequence());
        if (entry == null) {
            return new Beginning.OutcomeUnknown<>("this key is too old: its record is no longer kept");
        }
        return switch (entry.state) {
            case ISSUED -> run(entry);
            case RUNNING -> new Beginning.InProgress<>();
            case WITHDRAWN -> new Beginning.Withdrawn<>();
            case ANSWERED -> answered(entry);
            case LOST -> new Beginning.OutcomeUnknown<>("the upstream's answer to this call was lost");
        };
    }

    private static <A> Beginning<A> run(Entry<A> entry) {
        entry.state = State.RUNNING;
        return new Beginning.Run<>();
    }

    private static <A> Beginning<A> answered(Entry<A> entry) {
        if (entry.answer == null) {
            return new Beginning.OutcomeUnknown<>("the call ran, but its answer is no longer kept");
        }
        return new Beginning.Kept<>(entry.answer);
    }

    /**
     * Records that the upstream answered a running call.
     *
     * @param permit the call's permit
     * @param answer the answer to keep
     * @param bytes the answer's size, in bytes
     */
    public void answered(Permit permit, A answer, long bytes) {
        Entry<A> entry = running(permit);
        entry.state = State.ANSWERED;
        if (bytes > answerBytes) {
            return;
        }
        entry.answer = answer;
        entry.bytes = bytes;
        keptBytes += bytes;
        kept.add(permit.sequence());
        while (keptBytes > answerBytes) {
            dropOldestAnswer();
        }
    }

    /**
     * Records that nobody can tell whether a running call ran.
     *
     * @param permit the call's permit
     */
    public void lost(Permit permit) {
        running(permit).state = State.LOST;
    }

    /**
     * Records that a running call was certainly not handed to the upstream. The permit never runs afterwards.
     *
     * @param permit the call's permit
     */
    public void withdrawn(Permit permit) {
        running(permit).state = State.WITHDRAWN;
    }

    /**
     * Returns how many permits are remembered.
     *
     * @return the count, at most the window
     */
    public int size() {
        return records.size();
    }

    private Entry<A> running(Permit permit) {
        Entry<A> entry = records.get(permit.sequence());
        if (entry == null || entry.state != State.RUNNING) {
            throw new IllegalStateException("permit " + permit.sequence() + " is not running");
        }
        return entry;
    }

    private void dropOldestAnswer() {
        Entry<A> entry = records.get(kept.remove());
        if (entry != null && entry.answer != null) {
            entry.answer = null;
            keptBytes -= entry.bytes;
        }
    }

    private boolean isGenuine(Permit permit) {
        byte[] expected = tag(permit.sequence()).getBytes(StandardCharsets.US_ASCII);
        byte[] given = permit.tag().getBytes(StandardCharsets.US_ASCII);
        return permit.sequence() > 0 && permit.sequence() < nextSequence && MessageDigest.isEqual(expected, given);
    }

    private String tag(long sequence) {
        return tagFunction.hashLong(sequence).toString().substring(0, TAG_HEX_DIGITS);
    }

    /**
     * Says what to do with a call that came with a permit.
     *
     * @param <A> the type of the kept answers
     */
    public sealed interface Beginning<A> {
        /** Run it: this is the only time. */
        record Run<A>() implements Beginning<A> {}

        /**
         * It ran before; answer with what was kept.
         *
         * @param answer the answer
         */
        record Kept<A>(A answer) implements Beginning<A> {}

        /** It is running now. */
        record InProgress<A>() implements Beginning<A> {}

        /** It was refused before it ran, and never will run. */
        record Withdrawn<A>() implements Beginning<A> {}

        /**
         * It may have run.
         *
         * @param detail why nobody can tell
         */
        record OutcomeUnknown<A>(String detail) implements Beginning<A> {}

        /** The permit was not issued by this process. */
        record Forged<A>() implements Beginning<A> {}
    }

    private enum State {
        ISSUED,
        RUNNING,
        ANSWERED,
        LOST,
        WITHDRAWN
    }

    private static final class Entry<A> {
        private State state = State.ISSUED;
        private A answer;
        private long bytes;
    }
}
