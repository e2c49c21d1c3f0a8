package org.galenahinge.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
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
 * A TCP connection to a peer that carries frames in both directions and matches responses to requests.
 *
 * <pre>
 * connection.ask(Frame.newBuilder().setProbe(probe), Duration.ofSeconds(1)).thenAccept(response -&gt; ...);
 * </pre>
 *
 * <p>Bounds: {@value #MAXIMUM_OPEN_EXCHANGES} open exchanges and {@link WireNetwork#WRITE_BUFFER_BYTES} bytes not yet
 * sent. When either is reached, a frame is rejected and not sent.
 */
public final class WireConnection {
    /** Maximum number of exchanges that may wait for responses on one connection. */
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

    /** Receives the responses of one exchange. */
    public interface ExchangeListener {
        /**
         * Handles one response, on the connection's thread.
         *
         * @param frame the response
         */
        void responseReceived(Frame frame);

        /** Handles the loss of the connection; no further response is delivered. */
        void lost();
    }

    /** Thrown when an exchange ended without a response. */
    public static final class WireException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final boolean mayHaveBeenSent;

        WireException(String message, boolean mayHaveBeenSent) {
            super(message, null, false, false);
            this.mayHaveBeenSent = mayHaveBeenSent;
        }

        /**
         * Returns whether the frame may have reached the peer.
         *
         * @return false when it was certainly not sent
         */
        public boolean mayHaveBeenSent() {
            return mayHaveBeenSent;
        }
    }

    /**
     * Sends a frame without waiting for a response.
     *
     * @param frame the frame
     * @return false when the connection is closed or its write buffer is full, and the frame was not sent
     */
    public boolean send(Frame frame) {
        if (!channel.isActive() || !channel.isWritable()) {
            return false;
        }
        traffic.countSent(frame);
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    /**
     * Opens an exchange: sends a request and passes every response to the listener until {@link #end}.
     *
     * @param request the request, without a correlation number
     * @param listener receives the responses
     * @return the correlation number, or 0 when the request was not sent: the connection is closed, or a bound was reached
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
     * Ends an exchange; later responses to it are dropped and counted.
     *
     * @param correlation the number that {@link #open} returned
     */
    public void end(long correlation) {
        exchanges.remove(correlation);
    }

    /**
     * Sends a request and waits for one response.
     *
     * @param request the request, without a correlation number
     * @param timeout how long to wait for the response
     * @return the response; fails with a {@link WireException} when the request was not sent, the response did not
     *     arrive within the timeout or the connection was lost
     */
    public CompletionStage<Frame> ask(Frame.Builder request, Duration timeout) {
        CompletableFuture<Frame> response = new CompletableFuture<>();
        long correlation = open(request, new SingleResponseListener(response));
        if (correlation == 0) {
            response.completeExceptionally(new WireException(
                    "the connection is closed or at its limit of open exchanges or unsent bytes", false));
            return response;
        }
        ScheduledFuture<?> timer = channel.eventLoop()
                .schedule(
                        () -> response.completeExceptionally(new WireException("no response within the timeout", true)),
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
        return response.whenComplete((frame, error) -> {
            timer.cancel(false);
            end(correlation);
        });
    }

    /**
     * Responds to a request of the peer.
     *
     * @param request the peer's frame
     * @param response the response, without a correlation number
     * @return false when the response was not sent
     */
    public boolean reply(Frame request, Frame.Builder response) {
        return reply(request.getCorrelation(), response);
    }

    /**
     * Responds in an exchange that the peer opened.
     *
     * @param correlation the correlation number of the peer's request
     * @param response the response, without a correlation number
     * @return false when the response was not sent
     */
    public boolean reply(long correlation, Frame.Builder response) {
        return send(response.setCorrelation(correlation).setReply(true).build());
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false once it is closed
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Closes the connection; the listener of every open exchange is notified of the loss. */
    public void close() {
        channel.close();
    }

    /**
     * Closes the connection once every frame has been handed to the network and the peer has closed its side: a peer that
     * is still sending would make an earlier close a reset, and lose frames that it has not received yet.
     *
     * @return completes when the connection is closed
     */
    public CompletionStage<Void> closeWhenSent() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        channel.closeFuture().addListener(done -> closed.complete(null));
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> endOutput());
        return closed;
    }

    private void endOutput() {
        if (channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            return;
        }
        channel.close();
    }

    /**
     * Returns the object set by {@link #attach}.
     *
     * @return the attachment; an empty string when none was set
     */
    public Object attachment() {
        return attachment;
    }

    /**
     * Attaches an object to the connection, in place of the one before.
     *
     * @param newAttachment the object
     */
    public void attach(Object newAttachment) {
        this.attachment = Objects.requireNonNull(newAttachment, "newAttachment");
    }

    /** Returns false when no open exchange has the correlation number of the frame. */
    boolean deliverResponse(Frame frame) {
        ExchangeListener listener = exchanges.get(frame.getCorrelation());
        if (listener == null) {
            return false;
        }
        listener.responseReceived(frame);
        return true;
    }

    void failOpenExchanges() {
        for (Long correlation : List.copyOf(exchanges.keySet())) {
            ExchangeListener listener = exchanges.remove(correlation);
            if (listener != null) {
                listener.lost();
            }
        }
    }

    @Override
    public String toString() {
        return "connection to " + channel.remoteAddress();
    }

    private record SingleResponseListener(CompletableFuture<Frame> response) implements ExchangeListener {
        @Override
        public void responseReceived(Frame frame) {
            response.complete(frame);
        }

        @Override
        public void lost() {
            response.completeExceptionally(new WireException("the connection was lost", true));
        }
    }
}
