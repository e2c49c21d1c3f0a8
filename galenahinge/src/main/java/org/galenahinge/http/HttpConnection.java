package org.galenahinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * A client's HTTP connection that is kept for further requests, one at a time. Belongs to one network thread.
 *
 * <p>Any byte that belongs to no request ends the connection, and so does an answer that cannot be read: nothing is ever
 * taken for the answer to a later request.
 */
public final class HttpConnection {
    private static final int MAXIMUM_LINE_BYTES = 8 << 10;
    private static final int MAXIMUM_HEAD_BYTES = 64 << 10;
    private static final int MAXIMUM_PART_BYTES = 64 << 10;
    private static final Duration DEFAULT_IDLE = Duration.ofSeconds(3);
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final Channel channel;
    private Listener listener;
    private boolean headSeen;
    private boolean keptAfter;
    private boolean framed;
    private boolean resetSeen;
    private boolean requestWritten;
    private long idleSinceNanos;
    private Duration idleLimit = DEFAULT_IDLE;
    private Runnable closed = () -> {};

    private HttpConnection(Channel channel) {
        this.channel = channel;
        this.idleSinceNanos = System.nanoTime();
    }

    /** Hears the answer to one request. Exactly one of the last two ends it. */
    public interface Listener {
        /**
         * Hears the head of the answer.
         *
         * @param response the head
         */
        void head(HttpResponse response);

        /**
         * Hears a part of the body.
         *
         * @param content the bytes, to be retained by whoever keeps them
         */
        void part(ByteBuf content);

        /** Hears that the whole answer has come. */
        void whole();

        /**
         * Hears that the connection broke before the whole answer came.
         *
         * @param detail why
         */
        void broken(String detail);
    }

    /** Hears whether a connection could be opened. Exactly one method is called. */
    public interface Opening {
        /**
         * Hears that it is open.
         *
         * @param connection the connection
         */
        void opened(HttpConnection connection);

        /**
         * Hears that it could not be opened.
         *
         * @param detail why
         */
        void failed(String detail);
    }

    /**
     * Opens a connection.
     *
     * @param loop the thread that it will belong to
     * @param server where the server listens
     * @param timeout how long the opening may take
     * @param opening hears how it went, on that thread
     */
    public static void open(EventLoop loop, InetSocketAddress server, Duration timeout, Opening opening) {
        Objects.requireNonNull(opening, "opening");
        Receiver receiver = new Receiver();
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEAD_BYTES, MAXIMUM_PART_BYTES))
                                .addLast(receiver);
                    }
                });
        bootstrap.connect(server).addListener(done -> {
            if (done.isSuccess()) {
                HttpConnection connection = new HttpConnection(((ChannelFuture) done).channel());
                receiver.connection = connection;
                opening.opened(connection);
            } else {
                opening.failed(ErrorText.of(done.cause()));
            }
        });
    }

    /**
     * Sends a request.
     *
     * @param head the request's head
     * @param body the whole body, which is released
     * @param newListener hears the answer
     */
    public void send(HttpRequest head, ByteBuf body, Listener newListener) {
        if (listener != null) {
            throw new IllegalStateException("a request is under way on this connection");
        }
        listener = Objects.requireNonNull(newListener, "newListener");
        headSeen = false;
        requestWritten = false;
        channel.write(head);
        channel.writeAndFlush(new DefaultLastHttpContent(body)).addListener(done -> requestWritten = done.isSuccess());
    }

    /**
     * Tells whether another request may be sent.
     *
     * @param share how much of the server's idle time may have passed, from 0 to 1
     * @return whether it is open, idle and not likely to be closed by the server just now
     */
    public boolean isUsable(double share) {
        long idle = System.nanoTime() - idleSinceNanos;
        return listener == null && channel.isActive() && idle < idleLimit.toNanos() * share;
    }

    /**
     * Sets what runs when the connection ends while no request is under way.
     *
     * @param action the action
     */
    public void onIdleClose(Runnable action) {
        closed = Objects.requireNonNull(action, "action");
    }

    /** Ends the connection. The listener of a request under way hears nothing more. */
    public void close() {
        listener = null;
        closed = () -> {};
        channel.close();
    }

    /**
     * Stops or goes on reading, so that an answer nobody takes does not pile up.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    private void received(HttpObject message) {
        if (listener == null) {
            // Bytes that no request asked for: whatever follows on this connection cannot be trusted.
            endIdle();
            return;
        }
        if (message.decoderResult().isFailure()) {
            breakOff("the answer is malformed: "
                    + ErrorText.of(message.decoderResult().cause()));
            return;
        }
        if (message instanceof HttpResponse response) {
            receivedHead(response);
        }
        if (listener != null && message instanceof HttpContent content) {
            receivedContent(content);
        }
    }

    private void receivedHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        if (headSeen) {
            breakOff("a second answer came");
            return;
        }
        headSeen = true;
        framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        keptAfter = HttpUtil.isKeepAlive(response) && framed;
        idleLimit = idleLimitOf(response);
        listener.head(response);
    }

    private void receivedContent(HttpContent content) {
        if (!headSeen) {
            return;
        }
        if (content.content().isReadable()) {
            listener.part(content.content());
        }
        if (listener == null || !(content instanceof LastHttpContent)) {
            return;
        }
        if (!framed && resetSeen) {
            breakOff("the connection was reset");
            return;
        }
        Listener ended = listener;
        listener = null;
        idleSinceNanos = System.nanoTime();
        if (!keptAfter || !requestWritten) {
            channel.close();
        }
        ended.whole();
    }

    private void breakOff(String detail) {
        Listener ended = listener;
        listener = null;
        channel.close();
        if (ended != null) {
            ended.broken(detail);
        }
    }

    private void endIdle() {
        channel.close();
        closed.run();
    }

    private static Duration idleLimitOf(HttpResponse response) {
        String keepAlive = response.headers().get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
        if (at < 0) {
            return DEFAULT_IDLE;
        }
        int seconds = 0;
        for (int index = at + KEEP_ALIVE_TIMEOUT.length();
                index < keepAlive.length() && Character.isDigit(keepAlive.charAt(index)) && seconds < 10_000;
                index++) {
            seconds = seconds * 10 + (keepAlive.charAt(index) - '0');
        }
        return Duration.ofSeconds(seconds);
    }

    /** Closes a connection's channel by itself where nobody was told of it yet. */
    private static final class Receiver extends SimpleChannelInboundHandler<HttpObject> {
        private HttpConnection connection;

        Receiver() {
            super(HttpObject.class);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (connection == null) {
                context.close();
                return;
            }
            connection.received(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (connection == null) {
                return;
            }
            if (connection.listener == null) {
                connection.endIdle();
            } else {
                connection.breakOff("the connection was closed before the whole answer came");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (connection == null) {
                context.close();
                return;
            }
            connection.resetSeen = true;
            if (connection.listener == null) {
                connection.endIdle();
                return;
            }
            String kind = cause instanceof IOException ? "the connection broke: " : "an error while reading: ";
            connection.breakOff(kind + ErrorText.of(cause));
        }
    }

    /**
     * Builds the request line and what every request needs.
     *
     * @param request the request, to which host and length are added where they are missing
     * @param host the host to name
     * @param bodyBytes the length of the body
     */
    public static void complete(HttpRequest request, String host, int bodyBytes) {
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, host);
        }
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    }
}
