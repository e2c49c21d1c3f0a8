package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/** Writes one response on the connection of a caller. Used by the gateway's thread only. */
final class CallerResponseWriter implements ResponseWriter {
    private final ChannelHandlerContext context;
    private final CallerDelivery delivery;
    private final HttpVersion version;
    private final BooleanSupplier isLastResponse;
    private final Listener listener;
    private boolean chunked;
    private boolean last;
    private boolean finished;

    /** Is told how the response ends. */
    interface Listener {
        /** The response is complete; another one may follow if the connection is kept open. */
        void responseEnded(ChannelFuture written, boolean keepOpen);

        /** The response is broken off, and the connection must be closed. */
        void responseAborted();
    }

    /** Creates a writer; whether the response is the last one on its connection is asked when its head is written. */
    CallerResponseWriter(
            ChannelHandlerContext context,
            CallerDelivery delivery,
            HttpVersion version,
            BooleanSupplier isLastResponse,
            Listener listener) {
        this.context = Objects.requireNonNull(context, "context");
        this.delivery = Objects.requireNonNull(delivery, "delivery");
        this.version = Objects.requireNonNull(version, "version");
        this.isLastResponse = Objects.requireNonNull(isLastResponse, "isLastResponse");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    @Override
    public void writeComplete(int status, HttpHeaders headers, ByteBuf content) {
        if (isFinished()) {
            content.release();
            return;
        }
        finished = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content, headers, new DefaultHttpHeaders());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        setConnectionHeader(response);
        delivery.responseBegins();
        delivery.partWritten(content.readableBytes());
        ChannelFuture written = context.writeAndFlush(response);
        written.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        listener.responseEnded(written, !last);
    }

    @Override
    public void writeHead(int status, HttpHeaders headers) {
        if (isFinished()) {
            return;
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        chunked = version.equals(HttpVersion.HTTP_1_1);
        delivery.setBodyEndsWithConnection(!chunked);
        if (chunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        setConnectionHeader(response);
        delivery.responseBegins();
        context.write(response, context.voidPromise());
    }

    @Override
    public void writePart(ByteBuf content) {
        if (isFinished()) {
            content.release();
            return;
        }
        delivery.partWritten(content.readableBytes());
        context.writeAndFlush(new DefaultHttpContent(content), context.voidPromise());
    }

    @Override
    public void finish() {
        if (isFinished()) {
            return;
        }
        finished = true;
        ChannelFuture written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!chunked) {
            written.addListener(done -> delivery.setBodyEndsWithConnection(!done.isSuccess()));
        }
        listener.responseEnded(written, !last && chunked);
    }

    @Override
    public void abort() {
        if (isFinished()) {
            return;
        }
        finished = true;
        listener.responseAborted();
    }

    @Override
    public boolean isWritable() {
        return delivery.mayTakeMore();
    }

    private boolean isFinished() {
        return finished || !context.channel().isActive();
    }

    private void setConnectionHeader(HttpResponse response) {
        last = isLastResponse.getAsBoolean();
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
