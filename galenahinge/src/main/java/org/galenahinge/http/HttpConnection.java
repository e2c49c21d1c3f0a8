package org.galenahinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.galenahinge.wire.ReadLimit;

/**
 * A client's HTTP keep-alive connection, which carries one request at a time. Must be used on one network thread.
 *
 * <p>The connection is closed when bytes arrive while no request is running or together with the end of a response, and
 * when a response is malformed, so that leftover bytes are never read as the response to a later request.
 *
 * <p>A response is complete when its length or its last chunk says so. One that has neither is complete when the server
 * has ended its output in an orderly way and the whole request has been written: every other end of the connection,
 * however it is reported, is a failure.
 */
public final class HttpConnection {
    private static final int MAXIMUM_STATUS_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEADER_BYTES = 64 << 10;
    private static final int MAXIMUM_INFORMATIONAL_RESPONSES = 8;

    private final Channel channel;
    private final ResponseDecoder decoder;
    private final PartCollector collector = new PartCollector();
    private Listener listener;
    private int informationalResponses;
    private boolean headReceived;
    private boolean keepAlive;
    private boolean endsWithConnection;
    private boolean inputEnded;
    private boolean bodyEnded;
    private boolean requestWritten;
    private long idleSinceNanos;
    private Duration keepAliveTimeout = KeepAliveTimeout.DEFAULT;
    private Runnable idleCloseAction = () -> {};

    private HttpConnection(Channel channel, ResponseDecoder decoder) {
        this.channel = channel;
        this.decoder = decoder;
        this.idleSinceNanos = System.nanoTime();
    }

    /**
     * Receives the response to one request. Exactly one of {@link #onComplete} and {@link #onFailure} is called, as the
     * last method, unless {@link HttpConnection#close} is called before.
     */
    public interface Listener {
        /**
         * Called with the status and headers of the response. A few informational responses (1xx) are skipped; more of
         * them are a failure.
         *
         * @param response the head of the response
         */
        void onHead(HttpResponse response);

        /**
         * Called with each part of the body, in order. A part holds all that was read at once, however many chunks it
         * came in: at most {@link ReadLimit#BYTES_PER_TURN} bytes.
         *
         * @param content the bytes; a listener that keeps the buffer must retain it
         */
        void onBodyPart(ByteBuf content);

        /** Called when the response is complete. */
        void onComplete();

        /**
         * Called when the connection was lost, or the response was malformed, before it was complete.
         *
         * @param detail the cause, for logs
         */
        void onFailure(String detail);
    }

    /** Receives the outcome of opening a connection. Exactly one method is called. */
    public interface ConnectListener {
        /**
         * Called when the connection is open.
         *
         * @param connection the connection
         */
        void onConnected(HttpConnection connection);

        /**
         * Called when the connection could not be opened.
         *
         * @param detail the cause, for logs
         */
        void onConnectFailed(String detail);
    }

    /**
     * Opens a connection.
     *
     * @param loop the network thread that will use the connection
     * @param server the address of the server
     * @param timeout the maximum time to connect
     * @param connectListener receives the outcome, on that thread
     */
    public static void open(
            EventLoop loop, InetSocketAddress server, Duration timeout, ConnectListener connectListener) {
        open(loop, ByteBufAllocator.DEFAULT, server, timeout, connectListener);
    }

    static void open(
            EventLoop loop,
            ByteBufAllocator allocator,
            InetSocketAddress server,
            Duration timeout,
            ConnectListener connectListener) {
        Objects.requireNonNull(connectListener, "connectListener");
        ResponseReceiver receiver = new ResponseReceiver();
        ResponseDecoder decoder =
                new ResponseDecoder(MAXIMUM_STATUS_LINE_BYTES, MAXIMUM_HEADER_BYTES, ReadLimit.BYTES_PER_TURN);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ReadLimit.perTurn())
                .option(ChannelOption.ALLOCATOR, allocator)
                // Only so is the end of the server's output told apart from the loss of the connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new InputObserver(receiver))
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(receiver);
                    }
                });
        bootstrap.connect(server).addListener(done -> {
            if (done.isSuccess()) {
                HttpConnection connection = new HttpConnection(((ChannelFuture) done).channel(), decoder);
                receiver.setConnection(connection);
                connectListener.onConnected(connection);
            } else {
                connectListener.onConnectFailed(ErrorText.of(done.cause()));
            }
        });
    }

    /**
     * Sends a request.
     *
     * @param head the request line and headers
     * @param body the complete body, which is released
     * @param newListener receives the response
     * @throws IllegalStateException when a request is running on this connection
     */
    public void send(HttpRequest head, ByteBuf body, Listener newListener) {
        send(head, List.of(body), newListener);
    }

    /** Sends a request whose body is in parts; each is written after the one before, so that they do not pile up. */
    void send(HttpRequest head, List<ByteBuf> body, Listener newListener) {
        if (listener != null) {
            throw new IllegalStateException("a request is already running on this connection");
        }
        listener = Objects.requireNonNull(newListener, "newListener");
        informationalResponses = 0;
        headReceived = false;
        bodyEnded = false;
        requestWritten = false;
        decoder.expectResponseTo(head.method());
        channel.write(head);
        writeBody(new ArrayDeque<>(body));
    }

    private void writeBody(Deque<ByteBuf> parts) {
        if (parts.size() > 1) {
            channel.writeAndFlush(new DefaultHttpContent(parts.poll())).addListener(done -> {
                if (done.isSuccess()) {
                    writeBody(parts);
                } else {
                    parts.forEach(ReferenceCountUtil::release);
                    requestNotWritten(done.cause());
                }
            });
            return;
        }
        ByteBuf last = parts.isEmpty() ? Unpooled.EMPTY_BUFFER : parts.poll();
        channel.writeAndFlush(new DefaultLastHttpContent(last)).addListener(done -> {
            if (done.isSuccess()) {
                requestWritten();
            } else {
                requestNotWritten(done.cause());
            }
        });
    }

    private void requestWritten() {
        requestWritten = true;
        if (listener != null && bodyEnded) {
            complete();
        }
    }

    /** The channel closes itself when its network fails; anything else that stops a request would leave it open. */
    private void requestNotWritten(Throwable cause) {
        if (listener != null && (bodyEnded || !(cause instanceof IOException))) {
            fail("the request could not be written: " + ErrorText.of(cause));
        }
    }

    /**
     * Tells whether another request may be sent.
     *
     * @param maximumShare the maximum share of the server's keep-alive timeout that may have passed, from 0 to 1
     * @return whether the connection is open and idle, and the server is unlikely to be closing it at this moment
     */
    public boolean isUsable(double maximumShare) {
        long idle = System.nanoTime() - idleSinceNanos;
        return listener == null && channel.isActive() && idle < keepAliveTimeout.toNanos() * maximumShare;
    }

    /**
     * Sets an action that runs when the connection is closed by the server, or fails, while no request is running.
     *
     * @param action the action, which replaces any earlier one
     */
    public void onIdleClose(Runnable action) {
        idleCloseAction = Objects.requireNonNull(action, "action");
    }

    /** Closes the connection. The listener of a running request is not called again. */
    public void close() {
        listener = null;
        idleCloseAction = () -> {};
        collector.take().release();
        channel.close();
    }

    /**
     * Pauses or resumes reading, so that a response that is read slowly does not pile up in memory.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /**
     * Returns how much of a request the server has not taken.
     *
     * @return the bytes that were not given to the network
     */
    public long unwrittenBytes() {
        return OutboundBytes.pending(channel);
    }

    void handle(HttpObject message) {
        if (listener == null) {
            // Bytes without a request: anything that follows on this connection could be mistaken for a response.
            closeIdle();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("the response is malformed: "
                    + ErrorText.of(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (listener != null && message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void handleHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            informationalResponses++;
            if (informationalResponses > MAXIMUM_INFORMATIONAL_RESPONSES) {
                fail("more than " + MAXIMUM_INFORMATIONAL_RESPONSES + " informational responses were received");
            }
            return;
        }
        if (headReceived) {
            fail("a second response was received");
            return;
        }
        headReceived = true;
        boolean lengthDelimited = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        endsWithConnection = !lengthDelimited && decoder.mayHaveBody(response);
        keepAlive = HttpUtil.isKeepAlive(response) && lengthDelimited;
        keepAliveTimeout = KeepAliveTimeout.of(response);
        listener.onHead(response);
    }

    private void handleContent(HttpContent content) {
        if (!headReceived) {
            return;
        }
        collector.add(content.content());
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        passOnCollected();
        if (listener == null) {
            return;
        }
        if (!endsWithConnection) {
            complete();
            return;
        }
        if (!inputEnded) {
            fail("the connection was lost before the response ended");
            return;
        }
        bodyEnded = true;
        if (requestWritten) {
            complete();
        }
    }

    /** Passes on what was read at once. */
    void passOnCollected() {
        ByteBuf part = collector.take();
        try {
            if (listener != null && part.isReadable()) {
                listener.onBodyPart(part);
            }
        } finally {
            part.release();
        }
    }

    private void complete() {
        Listener completed = listener;
        listener = null;
        idleSinceNanos = System.nanoTime();
        if (!keepAlive || !requestWritten || decoder.hasBytesLeft()) {
            channel.close();
        }
        completed.onComplete();
    }

    void fail(String detail) {
        passOnCollected();
        Listener failed = listener;
        listener = null;
        channel.close();
        if (failed != null) {
            failed.onFailure(detail);
        }
    }

    void closeIdle() {
        channel.close();
        Runnable action = idleCloseAction;
        idleCloseAction = () -> {};
        action.run();
    }

    /** Whether a request is running, whose response is expected. */
    boolean isRunning() {
        return listener != null;
    }

    /** Notes that the server has ended its output; an end that an error of the network causes is not orderly. */
    void setInputEnded(boolean orderly) {
        inputEnded = orderly;
    }

    /** Called when the server has ended its output, after the decoder has passed on what that completes. */
    void handleInputEnd() {
        if (listener == null) {
            closeIdle();
        } else if (!bodyEnded) {
            fail("the connection was closed before the response was complete");
        }
    }

    /**
     * Sets the {@code Content-Length} header of a request, and the {@code Host} header where it is missing.
     *
     * @param request the request
     * @param host the value of the {@code Host} header
     * @param bodyBytes the length of the body, in bytes
     */
    public static void addHostAndLength(HttpRequest request, String host, int bodyBytes) {
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, host);
        }
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    }
}
