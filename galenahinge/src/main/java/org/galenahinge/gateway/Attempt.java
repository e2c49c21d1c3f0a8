package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.galenahinge.concurrent.Timers.Timer;
import org.galenahinge.engine.EventSplitter;
import org.galenahinge.http.HttpConnection;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.RetryPolicy.Outcome;
import org.galenahinge.upstream.UpstreamPool;

/** One sending of a request to one upstream. Belongs to the gateway's thread. */
final class Attempt implements HttpConnection.Listener, HttpConnection.Opening {
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final int MAXIMUM_HELD_BYTES = 256 << 10;
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final Duration LEAST_STREAM_PATIENCE = Duration.ofMillis(1_300);
    private static final Duration SILENT_PATIENCE = Duration.ofMillis(600);
    private static final double PATIENCE_TARGETS = 2.5;
    private static final double PATIENCE_SHARE_OF_TIME = 0.5;

    private final ForwardedCall call;
    private final PlacementCandidate candidate;
    private final UpstreamPool pool;
    private final double predictedMillis;
    private final OptionalLong exactVersion;
    private final long startedNanos;
    private final EventSplitter splitter = new EventSplitter(MAXIMUM_EVENT_BYTES);
    private Optional<HttpConnection> connection = Optional.empty();
    private Optional<Timer> patience = Optional.empty();
    private Optional<Timer> silence = Optional.empty();
    private CompositeByteBuf held = Unpooled.compositeBuffer(64);
    private HttpHeaders headers = new DefaultHttpHeaders();
    private int status;
    private boolean notRun;
    private boolean streaming;
    private boolean passing;
    private boolean done;
    private boolean handedOver;
    private long lastProgressNanos;
    private long firstByteNanos;

    Attempt(
            ForwardedCall call,
            PlacementCandidate candidate,
            UpstreamPool pool,
            double predictedMillis,
            OptionalLong exactVersion) {
        this.call = call;
        this.candidate = candidate;
        this.pool = pool;
        this.predictedMillis = predictedMillis;
        this.exactVersion = exactVersion;
        this.startedNanos = call.gateway().timers().nanoTime();
        this.lastProgressNanos = startedNanos;
    }

    void begin(Optional<HttpConnection> kept) {
        if (kept.isPresent()) {
            opened(kept.get());
        } else {
            pool.open(this);
        }
    }

    @Override
    public void opened(HttpConnection open) {
        if (done) {
            pool.release(open);
            return;
        }
        if (!call.countSending()) {
            pool.release(open);
            candidate.load().discard(this);
            end(Outcome.NOT_RUN, "the budget for repeats is spent");
            return;
        }
        connection = Optional.of(open);
        handedOver = true;
        open.send(head(), Unpooled.wrappedBuffer(call.call().body()), this);
        watch(patienceFor());
        if (call.route().kind().isStream() && call.route().kind().isRepeatable()) {
            silence = Optional.of(call.gateway().timers().schedule(SILENT_PATIENCE, this::leaveSilent));
        }
    }

    @Override
    public void failed(String detail) {
        if (done) {
            return;
        }
        candidate.load().recordEnd(this, false, now());
        end(Outcome.NOT_SENT, "cannot connect: " + detail);
    }

    @Override
    public void head(HttpResponse response) {
        UpstreamAnswer answer = call.gateway().translator().read(response);
        status = response.status().code();
        notRun = answer.notRun() || status == MISDIRECTED;
        firstByte();
        String asked = call.call().requestId();
        boolean foreign =
                answer.requestId().isPresent() ? !answer.requestId().get().equals(asked) : !notRun && !asked.isEmpty();
        if (foreign) {
            spoilt("the answer belongs to another request");
            return;
        }
        if (isSuccess() && !answer.signed()) {
            spoilt("the answer carries no signature");
            return;
        }
        HopHeaders.copy(response.headers(), headers);
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        streaming = isSuccess() && call.route().kind().isStream() && type.startsWith("text/event-stream");
    }

    @Override
    public void part(ByteBuf content) {
        lastProgressNanos = now();
        if (streaming) {
            passEvents(content);
        } else if (passing) {
            call.reply().part(content.retain());
        } else {
            hold(content);
        }
        if (!done && !call.reply().isWritable()) {
            connection.ifPresent(open -> open.setReading(false));
        }
    }

    @Override
    public void whole() {
        if (streaming) {
            endStream();
            return;
        }
        giveBack();
        if (passing) {
            close(true);
            call.reply().end();
            call.answered(this, status);
            return;
        }
        deliver();
    }

    @Override
    public void broken(String detail) {
        connection = Optional.empty();
        candidate.load().recordEnd(this, false, now());
        end(Outcome.UNKNOWN, detail);
    }

    /** Stops: the upstream hears it by the end of its connection. */
    void cancel() {
        if (done) {
            return;
        }
        candidate.load().discard(this);
        close(false);
    }

    void resume() {
        connection.ifPresent(open -> open.setReading(true));
    }

    String upstreamId() {
        return candidate.upstream().id();
    }

    boolean isHandedOver() {
        return handedOver;
    }

    long ageMillis() {
        return Duration.ofNanos(now() - startedNanos).toMillis();
    }

    long firstByteMillis() {
        return firstByteNanos == 0
                ? -1
                : Duration.ofNanos(firstByteNanos - startedNanos).toMillis();
    }

    long predictedMillis() {
        return (long) predictedMillis;
    }

    private DefaultHttpRequest head() {
        Call asked = call.call();
        HttpHeaders forwarded = new DefaultHttpHeaders(false);
        HopHeaders.copy(asked.headers(), forwarded);
        call.gateway().translator().prepare(forwarded, call.forwarding(upstreamId(), exactVersion));
        if (asked.body().length > 0 || asked.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            forwarded.set(HttpHeaderNames.CONTENT_LENGTH, asked.body().length);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, asked.method(), asked.uri(), forwarded);
    }

    private boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    private void firstByte() {
        if (firstByteNanos == 0) {
            firstByteNanos = now();
            lastProgressNanos = firstByteNanos;
        }
    }

    private void hold(ByteBuf content) {
        held.addComponent(true, content.retain());
        if (held.readableBytes() > MAXIMUM_HELD_BYTES && isSuccess()) {
            passing = true;
            beginReply();
            call.reply().part(held);
            held = Unpooled.compositeBuffer(1);
        }
    }

    private void beginReply() {
        if (!call.isHeadSent()) {
            call.headWasSent();
            call.reply().begin(status, headers);
        }
    }

    private void passEvents(ByteBuf content) {
        byte[] bytes = new byte[content.readableBytes()];
        content.getBytes(content.readerIndex(), bytes);
        List<String> events;
        try {
            events = splitter.add(bytes);
        } catch (IllegalStateException e) {
            spoilt(e.getMessage());
            return;
        }
        for (String event : events) {
            passEvent(event);
        }
    }

    private void passEvent(String event) {
        Optional<String> id = EventIds.idOf(event);
        if (id.isPresent()
                && call.lastEventId().isPresent()
                && !EventIds.follows(call.lastEventId().get(), id.get())) {
            return;
        }
        candidate.load().recordFirstEvent(this);
        beginReply();
        id.ifPresent(call::delivered);
        call.reply().part(Unpooled.wrappedBuffer(EventSplitter.bytesOf(event)));
    }

    private void endStream() {
        if (splitter.hasIncompleteEvent()) {
            giveBack();
            candidate.load().recordEnd(this, false, now());
            end(Outcome.UNKNOWN, "the stream ended within an event");
            return;
        }
        giveBack();
        close(true);
        beginReply();
        call.reply().end();
        call.answered(this, status);
    }

    private void deliver() {
        if (notRun) {
            candidate.load().recordRejection(this, now());
            end(Outcome.NOT_RUN, "the upstream refused with " + status);
            return;
        }
        boolean promise = status == 408 || status == MISDIRECTED || status == 429 || status == 503;
        boolean failure = status >= SERVER_ERROR || promise;
        candidate.load().recordEnd(this, !failure, now());
        if (!failure) {
            pass();
            return;
        }
        done = true;
        cancelPatience();
        // A refusal without the upstream's word that it did not run the request promises too much to be passed on.
        Outcome outcome = promise ? Outcome.UNKNOWN : Outcome.FAILED;
        if (call.failed(this, outcome, "the upstream answered " + status)) {
            pass();
        } else {
            held.release();
        }
    }

    private void pass() {
        close(true);
        call.reply().whole(status, headers, held);
        call.answered(this, status);
    }

    private void spoilt(String detail) {
        connection.ifPresent(HttpConnection::close);
        connection = Optional.empty();
        candidate.load().recordEnd(this, false, now());
        end(Outcome.UNKNOWN, detail);
    }

    private void end(Outcome outcome, String detail) {
        if (done) {
            return;
        }
        done = true;
        cancelPatience();
        held.release();
        call.failed(this, outcome, detail);
        call.gateway().serveWaiting();
    }

    private void close(boolean well) {
        if (done) {
            return;
        }
        done = true;
        cancelPatience();
        if (well) {
            candidate.load().recordEnd(this, true, now());
            call.gateway().metrics().firstByte(firstByteMillis(), predictedMillis());
        } else {
            connection.ifPresent(HttpConnection::close);
            held.release();
        }
        connection = Optional.empty();
        call.gateway().serveWaiting();
    }

    private void giveBack() {
        connection.ifPresent(open -> {
            open.setReading(true);
            pool.release(open);
        });
        connection = Optional.empty();
    }

    private Duration patienceFor() {
        if (call.route().kind().isStream()) {
            long millis = (long) Math.max(LEAST_STREAM_PATIENCE.toMillis(), predictedMillis * PATIENCE_TARGETS);
            return Duration.ofMillis(millis);
        }
        return Duration.ofMillis((long) (call.timeLeft().toMillis() * PATIENCE_SHARE_OF_TIME));
    }

    private void watch(Duration longest) {
        Duration quiet = Duration.ofNanos(now() - lastProgressNanos);
        Duration next = longest.minus(quiet);
        if (!next.isNegative() && !next.isZero()) {
            patience = Optional.of(call.gateway().timers().schedule(next, () -> watch(longest)));
            return;
        }
        if (!done && call.route().kind().isRepeatable() && call.mayGiveUp()) {
            spoilt("nothing came for " + quiet.toMillis() + " ms");
            return;
        }
        if (!done) {
            patience = Optional.of(call.gateway().timers().schedule(longest.dividedBy(2), () -> watch(longest)));
        }
    }

    /** An upstream of which nobody hears any more, and that sends nothing, most likely stands still. */
    private void leaveSilent() {
        if (done || firstByteNanos != 0) {
            return;
        }
        if (candidate.load().isReportOverdue(now()) && call.mayGiveUp()) {
            spoilt("nothing came for " + ageMillis() + " ms, and the upstream's reports have stopped");
            return;
        }
        silence = Optional.of(call.gateway().timers().schedule(SILENT_PATIENCE.dividedBy(2), this::leaveSilent));
    }

    private void cancelPatience() {
        patience.ifPresent(Timer::cancel);
        patience = Optional.empty();
        silence.ifPresent(Timer::cancel);
        silence = Optional.empty();
    }

    private long now() {
        return call.gateway().timers().nanoTime();
    }
}
