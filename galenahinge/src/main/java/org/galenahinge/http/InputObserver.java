package org.galenahinge.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import java.util.Optional;

/**
 * Sees what a client's channel receives before it is decoded. Notes the orderly end of the server's output, which the
 * decoder does not tell apart from a lost connection. Closes a connection that receives bytes while no request is
 * running: the beginning of a response would otherwise be completed by what arrives after the next request.
 */
final class InputObserver extends ChannelInboundHandlerAdapter {
    private final ResponseReceiver receiver;
    private boolean failed;

    InputObserver(ResponseReceiver receiver) {
        this.receiver = Objects.requireNonNull(receiver, "receiver");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        failed = true;
        context.fireExceptionCaught(cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE) {
            // The event also follows an error of the network.
            receiver.connection().ifPresent(connection -> connection.setInputEnded(!failed));
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        Optional<HttpConnection> connection = receiver.connection();
        if (connection.filter(HttpConnection::isRunning).isPresent()) {
            context.fireChannelRead(bytes);
            return;
        }
        ReferenceCountUtil.release(bytes);
        connection.ifPresentOrElse(HttpConnection::closeIdle, context::close);
    }
}
