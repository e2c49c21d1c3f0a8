package org.galenahinge.request;

import java.util.Locale;

/** Names why a request was refused or why its outcome is unknown, with the HTTP status that callers get for it. */
public enum Reason {
    /** The request itself is malformed. */
    INVALID_REQUEST(400),
    /** The request is larger than the bound in the settings. */
    TOO_LARGE(413),
    /** No group in force serves the model or service asked for. */
    UNKNOWN_TARGET(404),
    /** A call that may not be repeated came without an idempotency key. */
    KEY_MISSING(400),
    /** The idempotency key is not one that this system issued for this service. */
    KEY_INVALID(400),
    /** The idempotency key was withdrawn because its call was refused; a new one is needed. */
    KEY_WITHDRAWN(409),
    /** A call with this key is running now. */
    KEY_IN_USE(409),
    /** The process that issued the key is gone or has dropped its record. */
    OWNER_GONE(502),
    /** No replica holds the wanted weights and takes work. */
    NO_REPLICA(503),
    /** A queue is full. */
    QUEUE_FULL(429),
    /** The organisation already holds its share. */
    SHARE_EXCEEDED(429),
    /** The deadline passed before the call was started. */
    DEADLINE(504),
    /** This process is stopping. */
    DRAINING(503),
    /** This process has not yet joined its peers. */
    NOT_READY(503),
    /** The replica holds other weights than those asked for. */
    OTHER_WEIGHTS(503),
    /** The peer could not be reached. */
    UNREACHABLE(502),
    /** The link or the upstream connection broke after the call was handed over. */
    CONNECTION_LOST(502),
    /** The upstream's answer was cut off, mixed or malformed. */
    BAD_ANSWER(502),
    /** No answer came in time. */
    TIMEOUT(504),
    /** The caller did not read its answer fast enough. */
    SLOW_CALLER(503),
    /** An error of this program. */
    INTERNAL(500);

    private final int status;

    Reason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status that a caller gets.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name as it stands in headers, logs and on the wire.
     *
     * @return lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a reason by its label.
     *
     * @param label the label, as {@link #label()} gives it
     * @return the reason; {@link #INTERNAL} for an unknown label
     */
    public static Reason of(String label) {
        for (Reason reason : values()) {
            if (reason.label().equals(label)) {
                return reason;
            }
        }
        return INTERNAL;
    }
}
