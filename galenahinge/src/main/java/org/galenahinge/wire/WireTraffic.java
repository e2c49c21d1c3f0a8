package org.galenahinge.wire;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.galenahinge.wire.generated.Frame;

/** Counts the bytes on all links of a process: control, calls and weights apart. */
public final class WireTraffic {
    private final Counter control;
    private final Counter calls;
    private final Counter weights;
    private final Counter malformed;
    private final Counter late;

    /**
     * Creates the counters.
     *
     * @param metrics where the counters are registered
     */
    public WireTraffic(MetricRegistry metrics) {
        this.control = metrics.counter("wire.control.bytes");
        this.calls = metrics.counter("wire.calls.bytes");
        this.weights = metrics.counter("wire.weights.bytes");
        this.malformed = metrics.counter("wire.frames.malformed");
        this.late = metrics.counter("wire.frames.late");
    }

    void sent(Frame frame) {
        count(frame);
    }

    void received(Frame frame) {
        count(frame);
    }

    void malformedFrame() {
        malformed.inc();
    }

    void lateAnswer() {
        late.inc();
    }

    private void count(Frame frame) {
        counterOf(frame).inc(frame.getSerializedSize());
    }

    private Counter counterOf(Frame frame) {
        return switch (frame.getBodyCase()) {
            case CALL_START, CALL_HEAD, CALL_PART, CALL_END, CALL_CANCEL, PERMIT_REQUEST, PERMIT_ANSWER -> calls;
            case CHUNK_REQUEST, CHUNK_ANSWER -> weights;
            default -> control;
        };
    }
}
