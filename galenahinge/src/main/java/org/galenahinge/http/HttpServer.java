package org.galenahinge.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.ReadLimit;
import org.galenahinge.wire.WireAddress;

/** A small HTTP/1.1 server for internal requests, with responses that fit in memory. */
public final class HttpServer {
    private static final int MAXIMUM_REQUEST_BYTES = 16 << 10;

    private HttpServer() {}

    /** Handles requests. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles a request. Called on the connection's network thread.
         *
         * @param uri the path and query
         * @param reply receives the response, exactly once, on any thread
         */
        void handle(String uri, Consumer<HttpDocument> reply);
    }

    /**
     * Starts a server that responds to each request immediately.
     *
     * @param threads the threads that serve it; the server stops with them
     * @param address the address to listen on
     * @param documents returns the response for a path and query, or empty for status 404
     * @throws IOException when the port is in use
     */
    public static void start(
            NetworkThreads threads, WireAddress address, Function<String, Optional<HttpDocument>> documents)
            throws IOException {
        Objects.requireNonNull(documents, "documents");
        serve(
                threads,
                address,
                (uri, reply) -> reply.accept(documents.apply(uri).orElseGet(HttpServer::notFound)));
    }

    /**
     * Starts a server whose handler may respond later.
     *
     * @param threads the threads that serve it; the server stops with them
     * @param address the address to listen on
     * @param handler handles the requests
     * @return the listening channel
     * @throws IOException when the port is in use
     */
    public static Channel serve(NetworkThreads threads, WireAddress address, Handler handler) throws IOException {
        Objects.requireNonNull(handler, "handler");
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadLimit.perTurn())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                                .addLast(new RequestHandler(handler));
                    }
                });
        return NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
    }

    /**
     * Returns the response for an unknown path.
     *
     * @return a response with status 404
     */
    public static HttpDocument notFound() {
        return HttpDocument.text(404, "text/plain", "nothing here\n");
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        RequestHandler(Handler handler) {
            super(FullHttpRequest.class);
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            handler.handle(request.uri(), document -> write(context, document, keepAlive));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private static void write(ChannelHandlerContext context, HttpDocument document, boolean keepAlive) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(document.status()),
                    Unpooled.wrappedBuffer(document.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, document.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, document.body().length);
            if (keepAlive) {
                context.writeAndFlush(response, context.voidPromise());
                return;
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
