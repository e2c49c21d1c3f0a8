package org.galenahinge.http;

import java.time.Duration;
import java.util.Objects;

/**
 * How long a response may take. One that is large may need long on a link of little bandwidth, and is worth waiting for as long
 * as bytes arrive: whoever gives up and asks again sends the same bytes over the same link.
 *
 * @param begin the maximum time until its first byte, connecting included
 * @param pause the maximum time without a byte after that
 * @param total the maximum time until it is complete
 */
public record ResponseTimeout(Duration begin, Duration pause, Duration total) {
    /** Rejects null components. */
    public ResponseTimeout {
        Objects.requireNonNull(begin, "begin");
        Objects.requireNonNull(pause, "pause");
        Objects.requireNonNull(total, "total");
    }

    /**
     * Limits only the time until a response is complete.
     *
     * @param total the maximum time
     * @return the timeout
     */
    public static ResponseTimeout ofTotal(Duration total) {
        return new ResponseTimeout(total, total, total);
    }

    /** The moment until which one response must go on. Not thread-safe. */
    public static final class Deadline {
        private final ResponseTimeout timeout;
        private final long startNanos;
        private long nanos;

        /**
         * Begins to wait for a response.
         *
         * @param timeout how long it may take
         * @param nowNanos the monotonic time, in nanoseconds
         */
        public Deadline(ResponseTimeout timeout, long nowNanos) {
            this.timeout = Objects.requireNonNull(timeout, "timeout");
            this.startNanos = nowNanos;
            this.nanos = earliest(nowNanos + timeout.begin().toNanos());
        }

        /**
         * Records that some bytes of the response have arrived.
         *
         * @param nowNanos the monotonic time, in nanoseconds
         */
        public void bytesArrived(long nowNanos) {
            nanos = earliest(nowNanos + timeout.pause().toNanos());
        }

        /**
         * Returns the time that is left.
         *
         * @param nowNanos the monotonic time, in nanoseconds
         * @return the time until the response fails unless bytes arrive, not positive if it has failed
         */
        public Duration remaining(long nowNanos) {
            return Duration.ofNanos(nanos - nowNanos);
        }

        private long earliest(long candidateNanos) {
            long endNanos = startNanos + timeout.total().toNanos();
            return candidateNanos - endNanos < 0 ? candidateNanos : endNanos;
        }
    }
}
