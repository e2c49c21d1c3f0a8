package org.galenahinge.request;

import java.util.Locale;

/** Reasons why a request was rejected or why its outcome is unknown, each with the HTTP status that callers get. */
public enum Reason {
    /** The request itself is malformed. */
    INVALID_REQUEST(400),
    /** The request is larger than the maximum in the settings. */
    TOO_LARGE(413),
    /** No group in the current configuration serves the model or service asked for. */
    UNKNOWN_TARGET(404),
    /** A non-idempotent request came without an idempotency key. */
    KEY_MISSING(400),
    /** The idempotency key was not issued by this system for this service. */
    KEY_INVALID(400),
    /** The idempotency key was withdrawn because its request was rejected; a new one is needed. */
    KEY_WITHDRAWN(409),
    /** A request with this key is running now. */
    KEY_IN_USE(409),
    /** The process that issued the key is gone or has dropped its record. */
    OWNER_GONE(502),
    /** No replica that accepts requests holds the weights asked for. */
    NO_REPLICA(503),
    /** A queue is full. */
    QUEUE_FULL(429),
    /** The organisation has reached its share of a queue or of the active requests. */
    SHARE_EXCEEDED(429),
    /** The deadline passed before the request was started. */
    DEADLINE(504),
    /** This process is stopping. */
    DRAINING(503),
    /** This process has not yet joined its peers. */
    NOT_READY(503),
    /** The replica holds other weights than those asked for. */
    OTHER_WEIGHTS(503),
    /** The peer could not be reached. */
    UNREACHABLE(502),
    /** The connection to the slot process or to the upstream broke after the request was sent. */
    CONNECTION_LOST(502),
    /** The upstream's response was truncated, malformed or belongs to another request. */
    BAD_ANSWER(502),
    /** No response came before the deadline. */
    TIMEOUT(504),
    /** The caller did not read its response fast enough. */
    SLOW_CALLER(503),
    /** An internal error. */
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
     * Returns the name used in headers, in logs and on the wire.
     *
     * @return the constant's name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a reason by its label.
     *
     * @param label a label as returned by {@link #label()}
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
