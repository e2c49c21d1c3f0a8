package org.galenahinge.idempotency;

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
 * Issues permits for non-idempotent requests and ensures that each permit runs at most once.
 *
 * <p>A permit names its owner, the owner's incarnation and a sequence number. It runs only at its owner, in that
 * incarnation, once. No clock is used: a request whose permit has fallen out of the window "may have run" and is never
 * run again. Not thread-safe: used by one thread. Mutable, because copying a large window for each change would cost
 * too much.
 *
 * <p>Memory: O(window) records and at most {@code maximumResponseBytes} of cached responses. Each operation is O(1),
 * amortised.
 *
 * @param <R> the type of the cached responses
 */
public final class PermitTable<R> {
    private static final int TAG_HEX_DIGITS = 16;

    private final String owner;
    private final long incarnation;
    private final HashFunction tagFunction;
    private final int window;
    private final long maximumResponseBytes;
    private final Map<Long, PermitRecord<R>> records = new HashMap<>();
    private final Deque<Long> cachedSequences = new ArrayDeque<>();
    private long cachedBytes;
    private long nextSequence = 1;

    private PermitTable(String owner, long incarnation, byte[] secret, int window, long maximumResponseBytes) {
        this.owner = owner;
        this.incarnation = incarnation;
        this.tagFunction = Hashing.hmacSha256(secret);
        this.window = window;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    /**
     * Creates an empty table for a new incarnation.
     *
     * @param owner the name of this process's VM
     * @param incarnation a number that no earlier slot process of this VM has used
     * @param secret random bytes that no other process knows
     * @param window the number of latest permits with a record, at least 1
     * @param maximumResponseBytes the maximum size of all cached responses, in bytes
     * @param <R> the type of the cached responses
     * @return the table
     * @throws IllegalArgumentException if the window is below 1
     */
    public static <R> PermitTable<R> create(
            String owner, long incarnation, byte[] secret, int window, long maximumResponseBytes) {
        Objects.requireNonNull(owner, "owner");
        if (window < 1) {
            throw new IllegalArgumentException("window must be at least 1 permit: " + window);
        }
        return new PermitTable<>(owner, incarnation, secret.clone(), window, maximumResponseBytes);
    }

    /**
     * Issues a permit.
     *
     * @return the permit, or empty while the oldest permit of the window is running
     */
    public Optional<Permit> issue() {
        long expiredSequence = nextSequence - window;
        PermitRecord<R> oldest = records.get(expiredSequence);
        if (oldest != null && oldest.state == State.RUNNING) {
            return Optional.empty();
        }
        records.remove(expiredSequence);
        long sequence = nextSequence++;
        records.put(sequence, new PermitRecord<>());
        return Optional.of(new Permit(owner, incarnation, sequence, tag(sequence)));
    }

    /**
     * Starts a request with a permit.
     *
     * @param permit the request's permit
     * @return how to proceed with the request; only {@link StartResult.Run} lets it run
     */
    public StartResult<R> start(Permit permit) {
        Objects.requireNonNull(permit, "permit");
        if (!permit.owner().equals(owner) || permit.incarnation() != incarnation) {
            return new StartResult.OutcomeUnknown<>("the process that issued this key has ended");
        }
        if (!isGenuine(permit)) {
            return new StartResult.Forged<>();
        }
        PermitRecord<R> permitRecord = records.get(permit.sequence());
        if (permitRecord == null) {
            return new StartResult.OutcomeUnknown<>("this key is too old: its record has been dropped");
        }
        return switch (permitRecord.state) {
            case ISSUED -> markRunning(permitRecord);
            case RUNNING -> new StartResult.InProgress<>();
            case WITHDRAWN -> new StartResult.Withdrawn<>();
            case ANSWERED -> cachedResponse(permitRecord);
            case RESPONSE_LOST -> new StartResult.OutcomeUnknown<>("the upstream's response to this request was lost");
        };
    }

    private static <R> StartResult<R> markRunning(PermitRecord<R> permitRecord) {
        permitRecord.state = State.RUNNING;
        return new StartResult.Run<>();
    }

    private static <R> StartResult<R> cachedResponse(PermitRecord<R> permitRecord) {
        if (permitRecord.response == null) {
            return new StartResult.OutcomeUnknown<>("the request ran, but its response is no longer cached");
        }
        return new StartResult.Cached<>(permitRecord.response);
    }

    /**
     * Records the upstream's response to a running request and caches it, unless it is larger than the cache. Evicts
     * the oldest cached responses to make room.
     *
     * @param permit the permit of the running request
     * @param response the response to cache
     * @param bytes the size of the response, in bytes
     * @throws IllegalStateException if the permit is not running
     */
    public void recordAnswered(Permit permit, R response, long bytes) {
        PermitRecord<R> permitRecord = runningRecord(permit);
        permitRecord.state = State.ANSWERED;
        if (bytes > maximumResponseBytes) {
            return;
        }
        permitRecord.response = response;
        permitRecord.bytes = bytes;
        cachedBytes += bytes;
        cachedSequences.add(permit.sequence());
        while (cachedBytes > maximumResponseBytes) {
            evictOldestResponse();
        }
    }

    /**
     * Records that the outcome of a running request is unknown.
     *
     * @param permit the permit of the running request
     * @throws IllegalStateException if the permit is not running
     */
    public void recordLost(Permit permit) {
        runningRecord(permit).state = State.RESPONSE_LOST;
    }

    /**
     * Records that a request certainly was not sent to the upstream. Its permit never runs afterwards.
     *
     * @param permit the permit of the request, which counts as running
     * @throws IllegalStateException if the permit is not running
     */
    public void withdraw(Permit permit) {
        runningRecord(permit).state = State.WITHDRAWN;
    }

    /**
     * Returns the number of permits with a record.
     *
     * @return the number, at most the window
     */
    public int size() {
        return records.size();
    }

    private PermitRecord<R> runningRecord(Permit permit) {
        PermitRecord<R> permitRecord = records.get(permit.sequence());
        if (permitRecord == null || permitRecord.state != State.RUNNING) {
            throw new IllegalStateException("permit " + permit.sequence() + " is not running");
        }
        return permitRecord;
    }

    private void evictOldestResponse() {
        PermitRecord<R> permitRecord = records.get(cachedSequences.remove());
        if (permitRecord != null && permitRecord.response != null) {
            permitRecord.response = null;
            cachedBytes -= permitRecord.bytes;
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
     * How to proceed with a request that came with a permit.
     *
     * @param <R> the type of the cached responses
     */
    public sealed interface StartResult<R> {
        /** Run the request now; the permit never runs again. */
        record Run<R>() implements StartResult<R> {}

        /**
         * The request ran before: send its cached response.
         *
         * @param response the response
         */
        record Cached<R>(R response) implements StartResult<R> {}

        /** The request is running now. */
        record InProgress<R>() implements StartResult<R> {}

        /** The request was rejected before it ran; the permit never runs. */
        record Withdrawn<R>() implements StartResult<R> {}

        /**
         * The request may have run.
         *
         * @param detail why the outcome is unknown
         */
        record OutcomeUnknown<R>(String detail) implements StartResult<R> {}

        /** The permit was not issued by this process. */
        record Forged<R>() implements StartResult<R> {}
    }

    private enum State {
        ISSUED,
        RUNNING,
        ANSWERED,
        RESPONSE_LOST,
        WITHDRAWN
    }

    private static final class PermitRecord<R> {
        private State state = State.ISSUED;
        private R response;
        private long bytes;
    }
}
