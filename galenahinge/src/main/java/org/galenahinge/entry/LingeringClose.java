package org.galenahinge.entry;

import java.time.Duration;
import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.BidiShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.TimerGraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Ends a connection to a caller after the last byte of its responses: reads on and drops what comes until the caller
 * closes the connection or a time has passed. A connection that is closed with unread bytes is reset, and the caller loses
 * what it has not received yet.
 */
final class LingeringClose extends GraphStage<BidiShape<ByteString, ByteString, ByteString, ByteString>> {
    private static final String LINGER_TIMER = "linger";

    /** From when the network has taken the last bytes. */
    private static final Duration LINGER_TIME = Duration.ofMillis(500);

    private final Inlet<ByteString> responses = Inlet.create("responses");
    private final Outlet<ByteString> toCaller = Outlet.create("toCaller");
    private final Inlet<ByteString> fromCaller = Inlet.create("fromCaller");
    private final Outlet<ByteString> requests = Outlet.create("requests");

    @Override
    public BidiShape<ByteString, ByteString, ByteString, ByteString> shape() {
        return new BidiShape<>(responses, toCaller, fromCaller, requests);
    }

    @Override
    public TimerGraphStageLogic createLogic(Attributes attributes) {
        return new Logic();
    }

    private final class Logic extends TimerGraphStageLogic {
        private boolean responsesEnded;
        private long lastTakenNanos = System.nanoTime();

        Logic() {
            super(shape());
            setHandler(responses, new ResponsesHandler());
            setHandler(toCaller, new ToCallerHandler());
            setHandler(fromCaller, new FromCallerHandler());
            setHandler(requests, new RequestsHandler());
        }

        @Override
        public void onTimer(Object key) {
            completeStage();
        }

        private void linger() {
            Duration remaining = LINGER_TIME.minusNanos(System.nanoTime() - lastTakenNanos);
            if (isClosed(fromCaller) || remaining.isNegative() || remaining.isZero()) {
                completeStage();
                return;
            }
            scheduleOnce(LINGER_TIMER, remaining);
        }

        private void readOn() {
            if (!hasBeenPulled(fromCaller) && !isClosed(fromCaller)) {
                pull(fromCaller);
            }
        }

        private final class ResponsesHandler extends AbstractInHandler {
            @Override
            public void onPush() {
                push(toCaller, grab(responses));
            }

            @Override
            public void onUpstreamFinish() {
                responsesEnded = true;
                if (isAvailable(toCaller)) {
                    linger();
                }
            }
        }

        private final class ToCallerHandler extends AbstractOutHandler {
            @Override
            public void onPull() {
                lastTakenNanos = System.nanoTime();
                if (responsesEnded) {
                    linger();
                    return;
                }
                pull(responses);
            }
        }

        private final class FromCallerHandler extends AbstractInHandler {
            @Override
            public void onPush() {
                ByteString bytes = grab(fromCaller);
                if (isClosed(requests)) {
                    readOn();
                    return;
                }
                push(requests, bytes);
            }

            @Override
            public void onUpstreamFinish() {
                if (responsesEnded) {
                    completeStage();
                    return;
                }
                complete(requests);
            }
        }

        private final class RequestsHandler extends AbstractOutHandler {
            @Override
            public void onPull() {
                readOn();
            }

            @Override
            public void onDownstreamFinish(Throwable cause) {
                readOn();
            }
        }
    }
}
