package org.galenahinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.URI;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.wire.NetworkThreads;

/**
 * One HTTP request and its answer, over a connection of its own.
 *
 * <p>With no connection pool, a request that failed to connect certainly was not handed over, and nothing is ever sent
 * twice.
 *
 * <pre>
 * Exchange exchange = Exchange.send(threads, server, Exchange.Request.get("/state"), listener);
 * exchange.close();
 * </pre>
 */
public final class Exchange {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;

    private volatile boolean closed;
    private volatile Optional<Channel> channel = Optional.empty();

    private Exchange() {}

    /**
     * A request.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the headers, but for those on length and connection
     * @param body the parts of the body, in order
     */
    public record Request(String method, String path, Map<String, String> headers, List<byte[]> body) {
        /** Copies the collections. */
        public Request {
            Objects.requireNonNull(method, "method");
            Objects.requireNonNull(path, "path");
            headers = Map.copyOf(headers);
            body = List.copyOf(body);
        }

        /**
         * Creates a request without headers and body.
         *
         * @param path the path and query
         * @return the request
         */
        public static Request get(String path) {
            return new Request("GET", path, Map.of(), List.of());
        }

        long length() {
            return body.stream().mapToLong(part -> part.length).sum();
        }
    }

    /** Hears how the exchange goes, on a network thread. Exactly one of the last three ends it. */
    public interface Listener {
        /**
         * Hears the head of the answer.
         *
         * @param status the status code
         * @param headers the headers
         */
        void head(int status, Headers headers);

        /**
         * Hears a part of the body.
         *
         * @param content the bytes
         */
        void part(byte[] content);

        /** Hears that the whole answer has come. */
        void whole();

        /**
         * Hears that there was no connection: the server never saw the request.
         *
         * @param detail why
         */
        void notSent(String detail);

        /**
         * Hears that the connection broke before the whole answer came.
         *
         * @param detail why
         */
        void broken(String detail);
    }

    /** Reads headers by name. */
    @FunctionalInterface
    public interface Headers {
        /**
         * Finds a header.
         *
         * @param name its name, in any case
         * @return its value
         */
        Optional<String> find(String name);
    }

    /**
     * Sends a request.
     *
     * @param threads the threads that serve the connection
     * @param server where the server listens
     * @param request the request
     * @param listener hears the answer
     * @return the exchange under way
     */
    public static Exchange send(NetworkThreads threads, URI server, Request request, Listener listener) {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(listener, "listener");
        Exchange exchange = new Exchange();
        Bootstrap bootstrap = new Bootstrap()
                .group(threads.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline().addLast(new HttpClientCodec()).addLast(new Receiver(listener));
                    }
                });
        bootstrap.connect(server.getHost(), server.getPort()).addListener(done -> {
            if (done.isSuccess()) {
                exchange.connected(((ChannelFuture) done).channel(), server, request, listener);
            } else {
                listener.notSent(ErrorText.of(done.cause()));
            }
        });
        return exchange;
    }

    /** Closes the connection, which also cancels the request at a server that watches for that. */
    public void close() {
        closed = true;
        channel.ifPresent(Channel::close);
    }

    private void connected(Channel opened, URI server, Request request, Listener listener) {
        channel = Optional.of(opened);
        if (closed) {
            opened.pipeline().remove(Receiver.class);
            opened.close();
            listener.notSent("closed before it was sent");
            return;
        }
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path());
        request.headers().forEach((name, value) -> head.headers().set(name, value));
        head.headers()
                .set(HttpHeaderNames.HOST, server.getAuthority())
                .set(HttpHeaderNames.CONTENT_LENGTH, request.length())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        opened.write(head);
        writeNext(opened, request.body().iterator());
    }

    /** Writes one part after the other has been sent, so that a large body is not copied into the send buffer. */
    private static void writeNext(Channel opened, Iterator<byte[]> parts) {
        if (!parts.hasNext()) {
            opened.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            return;
        }
        opened.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(parts.next())))
                .addListener(sent -> {
                    if (sent.isSuccess()) {
                        writeNext(opened, parts);
                    }
                });
    }

    private static final class Receiver extends SimpleChannelInboundHandler<HttpObject> {
        private final Listener listener;
        private boolean ended;

        Receiver(Listener listener) {
            super(HttpObject.class);
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (ended) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                broken(context, "the answer is malformed");
                return;
            }
            if (message instanceof HttpResponse response) {
                listener.head(
                        response.status().code(),
                        name -> Optional.ofNullable(response.headers().get(name)));
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                listener.part(bytes);
            }
            if (message instanceof LastHttpContent) {
                ended = true;
                listener.whole();
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken(context, "the connection was closed before the whole answer came");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean network = cause instanceof IOException;
            broken(context, network ? ErrorText.of(cause) : "an error while reading the answer: " + cause);
        }

        private void broken(ChannelHandlerContext context, String detail) {
            if (ended) {
                return;
            }
            ended = true;
            listener.broken(detail);
            context.close();
        }
    }
}
