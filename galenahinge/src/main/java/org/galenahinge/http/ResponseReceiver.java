package org.galenahinge.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpObject;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;

/** Passes what a client's channel receives to its connection; closes the channel when that does not exist yet. */
final class ResponseReceiver extends SimpleChannelInboundHandler<HttpObject> {
    private Optional<HttpConnection> connection = Optional.empty();

    ResponseReceiver() {
        super(HttpObject.class);
    }

    void setConnection(HttpConnection opened) {
        connection = Optional.of(Objects.requireNonNull(opened, "opened"));
    }

    /** Returns the connection, empty until the channel is connected. */
    Optional<HttpConnection> connection() {
        return connection;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        connection.ifPresentOrElse(open -> open.handle(message), context::close);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        connection.ifPresent(HttpConnection::passOnCollected);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.ifPresent(open -> end(open, "the connection was closed before the response was complete"));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            connection.ifPresentOrElse(HttpConnection::handleInputEnd, context::close);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        String kind = cause instanceof IOException ? "the connection was lost: " : "error while reading the response: ";
        connection.ifPresentOrElse(open -> end(open, kind + ErrorText.of(cause)), context::close);
    }

    /** Ends a lost connection; a request that is running on it has failed. */
    private static void end(HttpConnection open, String detail) {
        if (open.isRunning()) {
            open.fail(detail);
        } else {
            open.closeIdle();
        }
    }
}
