package org.galenahinge.wire;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.galenahinge.wire.generated.Frame;

/**
 * Carries frames to and from one peer over one TCP connection.
 *
 * <pre>
 * link.ask(Frame.newBuilder().setProbe(probe), Duration.ofSeconds(1)).thenAccept(answer -&gt; ...);
 * </pre>
 *
 * <p>Bounds: {@value #MAXIMUM_OPEN_EXCHANGES} open exchanges and {@link WireNetwork#WRITE_BUFFER_BYTES} bytes not yet
 * sent; past either a frame is refused and certainly was not sent.
 */
public final class WireConnection {
    /** The most exchanges that may wait for answers on one link. */
    public static final int MAXIMUM_OPEN_EXCHANGES = 4_096;

    private final Channel channel;
    private final WireTraffic traffic;
    private final Map<Long, ExchangeListener> exchanges = new ConcurrentHashMap<>();
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private volatile Object attachment = "";

    WireConnection(Channel channel, WireTraffic traffic) {
        this.channel = Objects.requireNonNull(channel, "channel");
        this.traffic = Objects.requireNonNull(traffic, "traffic");
    }

    /** Hears the answers of one exchange. */
    public interface ExchangeListener {
        /**
         * Handles one answer, on the link's thread.
         *
         * @param frame the answer
         */
        void answered(Frame frame);

        /** Handles the loss of the link: no further answer comes. */
        void lost();
    }

    /** Says that an exchange ended without an answer. */
    public static final class WireException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final boolean sent;

        WireException(String message, boolean sent) {
            super(message, null, false, false);
            this.sent = sent;
        }

        /**
         * Tells whether the frame may have reached the peer.
         *
         * @return false when it certainly did not
         */
        public boolean mayHaveBeenSent() {
            return sent;
        }
    }

    /**
     * Sends a frame that expects no answer.
     *
     * @param frame the frame
     * @return false when the link is closed or full: the frame was not sent
     */
    public boolean send(Frame frame) {
        if (!channel.isActive() || !channel.isWritable()) {
            return false;
        }
        traffic.sent(frame);
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    /**
     * Opens an exchange: sends a request and hears every answer to it until {@link #end}.
     *
     * @param request the request, without a correlation number
     * @param listener hears the answers
     * @return the correlation number, or 0 when the request was not sent
     */
    public long open(Frame.Builder request, ExchangeListener listener) {
        if (exchanges.size() >= MAXIMUM_OPEN_EXCHANGES) {
            return 0;
        }
        long correlation = nextCorrelation.getAndIncrement();
        exchanges.put(correlation, listener);
        if (!send(request.setCorrelation(correlation).build())) {
            exchanges.remove(correlation);
            return 0;
        }
        if (!channel.isActive() && exchanges.remove(correlation) != null) {
            listener.lost();
        }
        return correlation;
    }

    /**
     * Ends an exchange; later answers to it are dropped and counted.
     *
     * @param correlation the number that {@link #open} gave
     */
    public void end(long correlation) {
        exchanges.remove(correlation);
    }

    /**
     * Asks for one answer.
     *
     * @param request the request, without a correlation number
     * @param timeout how long to wait
     * @return the answer, or a {@link WireException}
     */
    public CompletionStage<Frame> ask(Frame.Builder request, Duration timeout) {
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        long correlation = open(request, new AskListener(answer));
        if (correlation == 0) {
            answer.completeExceptionally(new WireException("the link is closed or full", false));
            return answer;
        }
        ScheduledFuture<?> timer = channel.eventLoop()
                .schedule(
                        () -> answer.completeExceptionally(new WireException("no answer in time", true)),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        return answer.whenComplete((frame, error) -> {
            timer.cancel(false);
            end(correlation);
        });
    }

    /**
     * Answers a frame of the peer.
     *
     * @param request the peer's frame
     * @param answer the answer
     * @return false when the answer was not sent
     */
    public boolean reply(Frame request, Frame.Builder answer) {
        return reply(request.getCorrelation(), answer);
    }

    /**
     * Answers an exchange of the peer.
     *
     * @param correlation the exchange's number
     * @param answer the answer
     * @return false when the answer was not sent
     */
    public boolean reply(long correlation, Frame.Builder answer) {
        return send(answer.setCorrelation(correlation).setReply(true).build());
    }

    /**
     * Tells whether the link is up.
     *
     * @return false once it is closed
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the link; every open exchange hears that it is lost. */
    public void close() {
        channel.close();
    }

    /**
     * Returns what the link's user attached to it.
     *
     * @return the attachment, an empty text at first
     */
    public Object attachment() {
        return attachment;
    }

    /**
     * Attaches the user's own state to the link.
     *
     * @param newAttachment the state
     */
    public void attach(Object newAttachment) {
        this.attachment = Objects.requireNonNull(newAttachment, "newAttachment");
    }

    boolean deliverAnswer(Frame frame) {
        ExchangeListener listener = exchanges.get(frame.getCorrelation());
        if (listener == null) {
            return false;
        }
        listener.answered(frame);
        return true;
    }

    void loseAll() {
        for (Long correlation : List.copyOf(exchanges.keySet())) {
            ExchangeListener listener = exchanges.remove(correlation);
            if (listener != null) {
                listener.lost();
            }
        }
    }

    @Override
    public String toString() {
        return "link to " + channel.remoteAddress();
    }

    private record AskListener(CompletableFuture<Frame> answer) implements ExchangeListener {
        @Override
        public void answered(Frame frame) {
            answer.complete(frame);
        }

        @Override
        public void lost() {
            answer.completeExceptionally(new WireException("the link was lost", true));
        }
    }
}
