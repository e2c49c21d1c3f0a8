package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Supplier;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.concurrent.Timers.Timer;
import org.galenahinge.log.EventLog.Category;

/** A connection of a caller: reads its requests one after another and writes their responses. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements BufferBudget.Holder {
    private static final int MAXIMUM_QUEUED_MESSAGES = 256;
    private static final int MAXIMUM_REQUESTS_PER_TURN = 16;
    private static final Duration CLOSE_LINGER = Duration.ofMillis(500);

    /** Time in which a caller that has just connected, or got a response, sends its next request. */
    private static final Duration NEXT_REQUEST_TIME = Duration.ofMillis(200);

    private static final Duration IDLE_TIMEOUT_MARGIN = Duration.ofSeconds(1);

    private final Gateway gateway;
    private final CallerServer server;
    private final Supplier<CallerLimits> limits;
    private final Deque<HttpObject> queued = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private CallerDelivery delivery;
    private Optional<Timer> timer = Optional.empty();
    private HttpRequest request;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long arrivedNanos;
    private long waitingSinceNanos;
    private long idleSinceNanos;
    private boolean reading;
    private boolean processing;
    private boolean heldBack;
    private Optional<ForwardedRequest> active = Optional.empty();
    private boolean closing;

    CallerConnection(Gateway gateway, CallerServer server, Supplier<CallerLimits> limits) {
        this.gateway = gateway;
        this.server = server;
        this.limits = limits;
    }

    /** Called for received bytes before they are decoded, so that the time for a head counts from its first byte. */
    void bytesReceived() {
        if (reading || active.isPresent() || closing || heldBack) {
            return;
        }
        reading = true;
        arrivedNanos = gateway.timers().nanoTime();
        setTimer(
                limits.get().headerTimeout(),
                () -> reject(Rejection.of(408, "request_timeout", "the request head took too long")));
    }

    /** Returns whether nothing of a request has arrived that has not been responded to. */
    boolean awaitsRequest() {
        return phase() == ConnectionPhase.WAITING;
    }

    /** Closes the connection if it waits for a request that does not come. */
    void closeIfIdle() {
        long waitedNanos = gateway.timers().nanoTime() - waitingSinceNanos;
        if (phase() == ConnectionPhase.WAITING && waitedNanos >= NEXT_REQUEST_TIME.toNanos()) {
            closeGracefully();
        }
    }

    /** Returns what the connection does; while a request is forwarded, responses before it may still be written. */
    ConnectionPhase phase() {
        if (active.isPresent()) {
            return ConnectionPhase.RUNNING;
        }
        if (delivery.isWriting()) {
            return ConnectionPhase.WRITING;
        }
        if (closing) {
            return ConnectionPhase.LINGERING;
        }
        return reading || !queued.isEmpty() ? ConnectionPhase.READING : ConnectionPhase.WAITING;
    }

    /** Ends the request in progress with a response, because the process exits, unless a response has begun. */
    void endRequest() {
        if (active.isEmpty() && reading) {
            reject(Rejection.stopping(gateway.randomFraction()));
            return;
        }
        active.filter(request -> !request.response().hasBegun()).ifPresent(ForwardedRequest::processExits);
    }

    /** Ends responses of which a part is not with the network visibly incomplete. */
    void breakOffResponse() {
        active.ifPresent(ForwardedRequest::processExits);
        if (delivery.isWriting()) {
            close();
        }
    }

    @Override
    public long unreadBytes() {
        return delivery.unreadBytes();
    }

    /** A request whose response cannot be delivered ends as one whose caller has disconnected. */
    @Override
    public void closeForBudget() {
        gateway.log()
                .event(Category.FAILURE, "caller_too_slow")
                .with(
                        "request",
                        active.map(running -> running.callerRequest().requestId())
                                .orElse(""))
                .with("unread_bytes", delivery.unreadBytes())
                .with("budget_bytes", gateway.bufferBudget().maximumBytes())
                .write();
        gateway.metrics().closedSlowCaller();
        close();
    }

    @Override
    public void resume() {
        if (closing) {
            return;
        }
        if (delivery.mayTakeMore()) {
            active.ifPresent(ForwardedRequest::resumeReading);
        }
        if (heldBack && !delivery.isHeldBack()) {
            heldBack = false;
            context.channel().config().setAutoRead(true);
            processQueued();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext newContext) {
        context = newContext;
        delivery = new CallerDelivery(newContext, gateway.bufferBudget());
        gateway.bufferBudget().add(this);
        waitingSinceNanos = gateway.timers().nanoTime();
        server.opened(this);
        startIdleTimer();
    }

    @Override
    public void channelRead(ChannelHandlerContext newContext, Object message) {
        if (!(message instanceof HttpObject object) || closing) {
            ReferenceCountUtil.release(message);
            return;
        }
        queued.add(object);
        if (queued.size() > MAXIMUM_QUEUED_MESSAGES) {
            newContext.channel().config().setAutoRead(false);
        }
        processQueued();
    }

    /** Processes what was read until a request is forwarded; leaves further requests to a later turn of the thread. */
    private void processQueued() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            int requests = 0;
            while (active.isEmpty() && !closing && !queued.isEmpty()) {
                if (queued.peek() instanceof HttpRequest && delivery.isHeldBack()) {
                    heldBack = true;
                    context.channel().config().setAutoRead(false);
                    return;
                }
                if (queued.peek() instanceof HttpRequest && ++requests > MAXIMUM_REQUESTS_PER_TURN) {
                    context.executor().execute(this::processQueued);
                    return;
                }
                process(queued.poll());
            }
        } finally {
            processing = false;
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext newContext) {
        if (newContext.channel().isWritable()) {
            resume();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext newContext) {
        closing = true;
        timer.ifPresent(Timer::cancel);
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        server.closed(this);
        gateway.bufferBudget().remove(this);
        active.ifPresent(ForwardedRequest::callerDisconnected);
        active = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext newContext, Throwable cause) {
        if (cause instanceof IOException) {
            delivery.close();
            return;
        }
        closeAfterError(cause);
    }

    /** Logs an error of this process, which ends this connection only. */
    void closeAfterError(Throwable cause) {
        gateway.log()
                .event(Category.FAILURE, "caller_connection_error")
                .with("detail", cause.toString())
                .write();
        delivery.close();
    }

    private void process(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                rejectMalformed(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest head) {
                processHead(head);
            }
            if (!closing && request != null && message instanceof HttpContent content) {
                processContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void processHead(HttpRequest head) {
        reading = true;
        if (arrivedNanos == 0) {
            arrivedNanos = gateway.timers().nanoTime();
        }
        Optional<String> fault = RequestFraming.faultOf(head);
        if (fault.isPresent()) {
            reject(Rejection.of(400, "malformed", fault.get()));
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > limits.get().maximumBodyBytes()) {
            rejectTooLarge(413, "the body is too large");
            return;
        }
        request = head;
        body = new ByteArrayOutputStream();
        setTimer(
                limits.get().idleTimeout(),
                () -> reject(Rejection.of(408, "request_timeout", "the request body took too long")));
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void processContent(HttpContent content) {
        ByteBuf bytes = content.content();
        if (body.size() + (long) bytes.readableBytes() > limits.get().maximumBodyBytes()) {
            rejectTooLarge(413, "the body is too large");
            return;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        if (content instanceof LastHttpContent) {
            forward();
        }
    }

    private void forward() {
        timer.ifPresent(Timer::cancel);
        HttpRequest head = request;
        CallerRequest callerRequest = new CallerRequest(
                head.method(),
                head.uri(),
                head.protocolVersion(),
                head.headers(),
                body.toByteArray(),
                gateway.translator().readRequest(head.headers()),
                arrivedNanos);
        request = null;
        reading = false;
        body = new ByteArrayOutputStream();
        ResponseWriter writer = responseWriter(HttpUtil.isKeepAlive(head), head.protocolVersion());
        // The response may be written before start() returns, so the active request is set first.
        ForwardedRequest forwarded = new ForwardedRequest(gateway, callerRequest, writer);
        active = Optional.of(forwarded);
        forwarded.start();
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            rejectTooLarge(431, "the request head is too large");
        } else {
            reject(Rejection.of(400, "malformed", "the request is malformed"));
        }
    }

    private void rejectTooLarge(int status, String detail) {
        Rejection denial = Rejection.of(status, "too_large", detail);
        reject(RequestChecks.denial(gateway.catalog(), gateway.isConfigurationConfirmed(), denial));
    }

    /** Rejects a request without forwarding it and closes the connection: what follows on it cannot be trusted. */
    private void reject(Rejection rejection) {
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
                                        .readRequest(request.headers())
                                        .requestId()
                                        .orElse("")))
                .with("status", rejection.status())
                .with("reason", rejection.reason())
                .with("detail", rejection.detail())
                .write();
        gateway.metrics().ended(rejection.reason());
        responseWriter(false, HttpVersion.HTTP_1_1)
                .writeComplete(rejection.status(), rejection.headers(gateway.translator()), rejection.body());
    }

    private ResponseWriter responseWriter(boolean keepAlive, HttpVersion version) {
        return new CallerResponseWriter(
                context, delivery, version, () -> !keepAlive || isLastOfStop(), new ResponseEnds());
    }

    /** While the process stops, the response to the last request that was read is the last one. */
    private boolean isLastOfStop() {
        return gateway.isStopping() && queued.isEmpty();
    }

    private void responseEnded(ChannelFuture written, boolean keepOpen) {
        active = Optional.empty();
        arrivedNanos = 0;
        reading = false;
        request = null;
        delivery.responseEnded(written);
        written.addListener(done -> waitingSinceNanos = gateway.timers().nanoTime());
        if (!keepOpen) {
            closeAfter(written);
            return;
        }
        startIdleTimer();
        context.channel().config().setAutoRead(true);
        processQueued();
    }

    private void startIdleTimer() {
        idleSinceNanos = gateway.timers().nanoTime();
        awaitIdleTime(idleTimeout());
    }

    /** Waits for the end of the idle time, which a later configuration may prolong. */
    private void awaitIdleTime(Duration after) {
        setTimer(after, () -> {
            Duration idle = Duration.ofNanos(gateway.timers().nanoTime() - idleSinceNanos);
            Duration remaining = idleTimeout().minus(idle);
            if (remaining.isNegative() || remaining.isZero()) {
                idleTimeReached();
            } else {
                awaitIdleTime(remaining);
            }
        });
    }

    private Duration idleTimeout() {
        return limits.get().idleTimeout().plus(IDLE_TIMEOUT_MARGIN);
    }

    /** A caller that does not take its responses in the time of an idle connection is not waited for. */
    private void idleTimeReached() {
        if (delivery.isWriting()) {
            close();
        } else {
            closeGracefully();
        }
    }

    /** Closes the connection once its caller has taken the last response, or has not for the time of an idle one. */
    private void closeAfter(ChannelFuture written) {
        closing = true;
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
        context.channel().config().setAutoRead(true);
        startIdleTimer();
        written.addListener(done -> closeGracefully());
    }

    /** Shuts down the output and reads on briefly, so that bytes still in flight do not reset the connection. */
    private void closeGracefully() {
        if (!context.channel().isActive()) {
            return;
        }
        closing = true;
        context.channel().config().setAutoRead(true);
        delivery.shutDown();
        // A request that arrives after the close would reset the connection, with what the caller has not received yet.
        Duration linger = delivery.mayBeUnread() ? limits.get().idleTimeout() : CLOSE_LINGER;
        setTimer(linger, () -> context.close());
    }

    private void close() {
        closing = true;
        timer.ifPresent(Timer::cancel);
        delivery.close();
    }

    private void setTimer(Duration after, Runnable action) {
        timer.ifPresent(Timer::cancel);
        timer = Optional.of(gateway.timers().schedule(after, action));
    }

    private final class ResponseEnds implements CallerResponseWriter.Listener {
        @Override
        public void responseEnded(ChannelFuture written, boolean keepOpen) {
            CallerConnection.this.responseEnded(written, keepOpen);
        }

        @Override
        public void responseAborted() {
            active = Optional.empty();
            close();
        }
    }
}
