package org.galenahinge.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.galenahinge.wire.generated.Frame;

/** Counts the bytes on all connections of a process, separately for control frames, requests and weights. */
public final class WireTraffic {
    private final Counter control;
    private final Counter requests;
    private final Counter weights;
    private final Counter malformedFrames;
    private final Counter lateResponses;

    /**
     * Creates the counters.
     *
     * @param metrics where the counters are registered
     */
    public WireTraffic(MetricRegistry metrics) {
        this.control = metrics.counter("wire.control.bytes");
        this.requests = metrics.counter("wire.calls.bytes");
        this.weights = metrics.counter("wire.weights.bytes");
        this.malformedFrames = metrics.counter("wire.frames.malformed");
        this.lateResponses = metrics.counter("wire.frames.late");
    }

    void countSent(Frame frame) {
        count(frame);
    }

    void countReceived(Frame frame) {
        count(frame);
    }

    void countMalformedFrame() {
        malformedFrames.inc();
    }

    /** Counts a response that arrived after its exchange had ended. */
    void countLateResponse() {
        lateResponses.inc();
    }

    private void count(Frame frame) {
        counterOf(frame).inc(frame.getSerializedSize());
    }

    private Counter counterOf(Frame frame) {
        return switch (frame.getBodyCase()) {
            case CALL_START, CALL_HEAD, CALL_PART, CALL_END, CALL_CANCEL, PERMIT_REQUEST, PERMIT_ANSWER -> requests;
            case CHUNK_REQUEST, CHUNK_ANSWER -> weights;
            default -> control;
        };
    }
}
