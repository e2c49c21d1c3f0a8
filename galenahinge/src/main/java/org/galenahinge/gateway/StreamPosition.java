package org.galenahinge.gateway;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The events of a stream that were passed on to its caller, and which event of another upstream continues them. Ids that
 * are numbers increase, and those of one stream by steps of similar size, so that a gap between two upstreams is seen;
 * after an event without such an id no other upstream can continue the stream. Not thread-safe.
 */
final class StreamPosition {
    private Optional<String> lastId = Optional.empty();
    private long maximumStep = 1;
    private boolean resumable = true;

    /** Records that an event was passed on. */
    void recordDelivered(String event) {
        Optional<String> id = EventIds.idOf(event);
        if (id.isEmpty()) {
            resumable &= EventIds.isBare(event);
            return;
        }
        resumable &= EventIds.number(id.get()).isPresent();
        stepTo(id.get()).ifPresent(step -> maximumStep = Math.max(maximumStep, step));
        lastId = id;
    }

    /** Returns the id of the last event that was passed on, if one was. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns whether an upstream that is told the last id can continue without a gap or an event that comes twice. */
    boolean isResumable() {
        return resumable && lastId.isPresent();
    }

    /** Returns whether an event of the upstream that sent the last one may follow it: its id, if any, does not go back. */
    boolean isFollowedBy(String event) {
        Optional<String> id = EventIds.idOf(event);
        return id.isEmpty() || lastId.isEmpty() || EventIds.follows(lastId.get(), id.get());
    }

    /** Returns whether the first event of another upstream continues the stream: it comes next, without a gap. */
    boolean isContinuedBy(String event) {
        OptionalLong step = EventIds.idOf(event).map(this::stepTo).orElse(OptionalLong.empty());
        return step.isPresent() && step.getAsLong() > 0 && step.getAsLong() <= maximumStep;
    }

    /** Returns how much higher an id is than the last one; empty if either is no number. */
    private OptionalLong stepTo(String id) {
        OptionalLong last = lastId.map(EventIds::number).orElse(OptionalLong.empty());
        OptionalLong next = EventIds.number(id);
        return last.isPresent() && next.isPresent()
                ? OptionalLong.of(next.getAsLong() - last.getAsLong())
                : OptionalLong.empty();
    }
}
