package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.concurrent.Timers.Timer;
import org.galenahinge.log.EventLog.Category;

/** One caller's connection: reads its requests one after the other, and writes their answers. */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MOST_MESSAGES_AHEAD = 256;
    private static final Duration LINGER = Duration.ofMillis(500);
    private static final Duration IDLE_MARGIN = Duration.ofSeconds(1);

    private final Gateway gateway;
    private final CallerDoor door;
    private final Supplier<CallerLimits> limits;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private Optional<Timer> timer = Optional.empty();
    private HttpRequest request;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long arrivedNanos;
    private boolean reading;
    private Optional<ForwardedCall> active = Optional.empty();
    private boolean closing;

    CallerConnection(Gateway gateway, CallerDoor door, Supplier<CallerLimits> limits) {
        this.gateway = gateway;
        this.door = door;
        this.limits = limits;
    }

    /** Hears of bytes before they are decoded, so that the time of a head counts from its first byte. */
    void bytesArrived() {
        if (reading || active.isPresent() || closing) {
            return;
        }
        reading = true;
        arrivedNanos = gateway.timers().nanoTime();
        setTimer(limits.get().headerTimeout(), () -> reject(408, "request_timeout", "the request head took too long"));
    }

    /** Closes an idle connection, or makes the answer under way its last. */
    void drain() {
        if (active.isEmpty() && !reading) {
            close();
        }
    }

    boolean isIdle() {
        return active.isEmpty() && !reading;
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        door.opened(this);
        idle();
    }

    @Override
    public void channelRead(ChannelHandlerContext newContext, Object message) {
        if (!(message instanceof HttpObject object) || closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (active.isEmpty() && ahead.isEmpty()) {
            take(object);
            return;
        }
        ahead.add(object);
        if (ahead.size() > MOST_MESSAGES_AHEAD) {
            newContext.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext newContext) {
        if (newContext.channel().isWritable()) {
            active.ifPresent(ForwardedCall::callerKeepsUp);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext newContext) {
        closing = true;
        timer.ifPresent(Timer::cancel);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        door.closed(this);
        active.ifPresent(ForwardedCall::callerLeft);
        active = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext newContext, Throwable cause) {
        if (!(cause instanceof IOException)) {
            gateway.log()
                    .event(Category.FAILURE, "caller_connection_error")
                    .with("detail", cause.toString())
                    .write();
        }
        newContext.close();
    }

    private void take(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                rejectMalformed(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest head) {
                takeHead(head);
            }
            if (!closing && request != null && message instanceof HttpContent content) {
                takeContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void takeHead(HttpRequest head) {
        reading = true;
        if (arrivedNanos == 0) {
            arrivedNanos = gateway.timers().nanoTime();
        }
        Optional<String> fault = RequestFraming.faultOf(head);
        if (fault.isPresent()) {
            reject(400, "malformed", fault.get());
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.get().maximumBodyBytes()) {
            reject(413, "too_large", "the body is too large");
            return;
        }
        request = head;
        body = new ByteArrayOutputStream();
        setTimer(limits.get().idleTimeout(), () -> reject(408, "request_timeout", "the request body took too long"));
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void takeContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.size() + (long) bytes.readableBytes() > limits.get().maximumBodyBytes()) {
            reject(413, "too_large", "the body is too large");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (content instanceof LastHttpContent) {
            begin();
        }
    }

    private void begin() {
        timer.ifPresent(Timer::cancel);
        HttpRequest head = request;
        Call call = new Call(
                head.method(),
                head.uri(),
                head.protocolVersion(),
                head.headers(),
                body.toByteArray(),
                gateway.translator().read(head.headers()),
                arrivedNanos);
        request = null;
        reading = false;
        body = new ByteArrayOutputStream();
        Reply reply = new Reply(HttpUtil.isKeepAlive(head), head.protocolVersion());
        // The answer may come before the call returns: the reply knows its call only if it has not ended by then.
        ForwardedCall forwarded = new ForwardedCall(gateway, call, reply);
        active = Optional.of(forwarded);
        forwarded.begin();
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reject(431, "too_large", "the request head is too large");
        } else {
            reject(400, "malformed", "the request cannot be read");
        }
    }

    /** Answers a request that is not forwarded, and ends the connection: what follows on it cannot be trusted. */
    private void reject(int status, String reason, String detail) {
        if (closing) {
            return;
        }
        if (!reading && request == null) {
            close();
            return;
        }
        gateway.log()
                .event(Category.FAILURE, "rejected")
                .with(
                        "request",
                        request == null
                                ? ""
                                : String.valueOf(gateway.translator()
                                        .read(request.headers())
                                        .requestId()
                                        .orElse("")))
                .with("status", status)
                .with("reason", reason)
                .with("detail", detail)
                .write();
        gateway.metrics().ended(reason);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        new Reply(false, HttpVersion.HTTP_1_1)
                .whole(status, headers, Unpooled.copiedBuffer(detail + "\n", StandardCharsets.UTF_8));
    }

    private void ended(boolean kept) {
        active = Optional.empty();
        arrivedNanos = 0;
        reading = false;
        request = null;
        if (!kept) {
            closeGently();
            return;
        }
        idle();
        context.channel().config().setAutoRead(true);
        while (active.isEmpty() && !closing && !ahead.isEmpty()) {
            take(ahead.poll());
        }
    }

    private void idle() {
        setTimer(limits.get().idleTimeout().plus(IDLE_MARGIN), this::close);
    }

    /** Sends the end of the own side and reads on for a moment, so that bytes under way do not reset the connection. */
    private void closeGently() {
        closing = true;
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        context.channel().config().setAutoRead(true);
        if (context.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
        setTimer(LINGER, () -> context.close());
    }

    private void close() {
        closing = true;
        timer.ifPresent(Timer::cancel);
        context.close();
    }

    private void setTimer(Duration after, Runnable action) {
        timer.ifPresent(Timer::cancel);
        timer = Optional.of(gateway.timers().schedule(after, action));
    }

    private final class Reply implements CallerReply {
        private final boolean keepAlive;
        private final HttpVersion version;
        private boolean chunked;
        private boolean last;
        private boolean over;

        Reply(boolean keepAlive, HttpVersion version) {
            this.keepAlive = keepAlive;
            this.version = version;
        }

        @Override
        public void whole(int status, HttpHeaders headers, ByteBuf content) {
            if (isOver()) {
                content.release();
                return;
            }
            over = true;
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    content,
                    headers,
                    new DefaultHttpHeaders());
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
            sayWhetherLast(response);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            ended(!last);
        }

        @Override
        public void begin(int status, HttpHeaders headers) {
            if (isOver()) {
                return;
            }
            HttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
            chunked = version.equals(HttpVersion.HTTP_1_1);
            if (chunked) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            sayWhetherLast(response);
            context.write(response, context.voidPromise());
        }

        @Override
        public void part(ByteBuf content) {
            if (isOver()) {
                content.release();
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(content), context.voidPromise());
        }

        @Override
        public void end() {
            if (isOver()) {
                return;
            }
            over = true;
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            ended(!last && chunked);
        }

        @Override
        public void breakOff() {
            if (isOver()) {
                return;
            }
            over = true;
            active = Optional.empty();
            close();
        }

        @Override
        public boolean isWritable() {
            return context.channel().isWritable();
        }

        private boolean isOver() {
            return over || !context.channel().isActive();
        }

        private void sayWhetherLast(HttpResponse response) {
            last = !keepAlive || gateway.isStopping();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }
    }
}
