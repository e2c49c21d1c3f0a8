package org.galenahinge.slot;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.galenahinge.engine.EventSplitter;
import org.galenahinge.http.Exchange;
import org.galenahinge.request.Reason;
import org.galenahinge.request.Verdict;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.generated.CallStart;

/**
 * Sends one request to the upstream, once, and relays the response after checking that it is complete and belongs to
 * this request.
 *
 * <p>A streamed model response is relayed event by event. Each event must carry the fingerprint of the weights that
 * the request was routed for, and the last one must be the end mark.
 */
final class UpstreamRequest implements Exchange.Listener {
    private static final String END_MARK = "data: [DONE]";
    private static final String REQUEST_ID = "x-request-id";
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final int MAXIMUM_BODY_BYTES = 2 << 20;
    private static final int OK = 200;
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final RequestReply reply;
    private final CallStart request;
    private final String fingerprint;
    private final RequestController.CompletionListener listener;
    private final AtomicBoolean done = new AtomicBoolean();
    private final EventSplitter events = new EventSplitter(MAXIMUM_EVENT_BYTES);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile Optional<Exchange> exchange = Optional.empty();
    private volatile Optional<Future<?>> timer = Optional.empty();
    private boolean streamed;
    private boolean endMarkSeen;
    private int status;
    private String contentType = "";

    private UpstreamRequest(
            RequestReply reply, CallStart request, String fingerprint, RequestController.CompletionListener listener) {
        this.reply = reply;
        this.request = request;
        this.fingerprint = fingerprint;
        this.listener = listener;
    }

    /**
     * Sends a request to the upstream.
     *
     * @param threads the threads that serve the connection
     * @param upstream the upstream's address
     * @param reply receives the response
     * @param request the request, with its timeout
     * @param fingerprint the fingerprint that a model response must carry, empty for a plain service
     * @param listener is given the verdict, once, and the response if it was complete and not streamed
     * @return the running request
     */
    static UpstreamRequest start(
            NetworkThreads threads,
            URI upstream,
            RequestReply reply,
            CallStart request,
            String fingerprint,
            RequestController.CompletionListener listener) {
        UpstreamRequest running = new UpstreamRequest(
                Objects.requireNonNull(reply, "reply"),
                Objects.requireNonNull(request, "request"),
                fingerprint,
                listener);
        Map<String, String> headers = Map.of(
                REQUEST_ID,
                request.getRequestId(),
                "x-priority",
                Integer.toString(request.getPriority()),
                "content-type",
                "application/json");
        Exchange.Request upstreamRequest = new Exchange.Request(
                "POST", request.getPath(), headers, List.of(request.getBody().toByteArray()));
        running.exchange = Optional.of(Exchange.send(threads, upstream, upstreamRequest, running));
        Runnable onTimeout = () -> running.cancel(Reason.TIMEOUT, "no complete response before the timeout");
        running.timer = Optional.of(threads.schedule(request.getTimeoutMillis(), onTimeout));
        if (running.done.get()) {
            running.stopTimer();
        }
        return running;
    }

    /** Closes the connection, so that an upstream that watches it stops working on the request. */
    void cancel(Reason reason, String detail) {
        finish(Verdict.mayHaveRun(reason, detail), CachedResponse.NONE);
    }

    @Override
    public void onHead(int newStatus, Exchange.Headers headers) {
        status = newStatus;
        contentType = headers.find("content-type").orElse("application/octet-stream");
        boolean matchesRequest =
                headers.find(REQUEST_ID).filter(request.getRequestId()::equals).isPresent();
        if (!matchesRequest && status < 500) {
            fail(Reason.BAD_ANSWER, "the upstream responded to another request");
            return;
        }
        streamed = request.getStreamed() && status == OK;
        if (streamed) {
            reply.sendHead(status, contentType, fingerprint);
        }
    }

    @Override
    public void onBodyPart(byte[] content) {
        if (done.get()) {
            return;
        }
        if (streamed) {
            relayEvents(content);
            return;
        }
        body.writeBytes(content);
        if (body.size() > MAXIMUM_BODY_BYTES) {
            fail(Reason.BAD_ANSWER, "the response is larger than " + MAXIMUM_BODY_BYTES + " bytes");
        }
    }

    @Override
    public void onComplete() {
        if (done.get()) {
            return;
        }
        if (!streamed) {
            relayBody(new CachedResponse(status, contentType, body.toByteArray()));
        } else if (endMarkSeen && !events.hasIncompleteEvent()) {
            finish(Verdict.answered(), CachedResponse.NONE);
        } else {
            fail(Reason.BAD_ANSWER, "the response stream was cut off");
        }
    }

    @Override
    public void onNotSent(String detail) {
        finish(Verdict.notRun(Reason.UNREACHABLE, detail, RETRY_AFTER), CachedResponse.NONE);
    }

    @Override
    public void onFailure(String detail) {
        fail(Reason.CONNECTION_LOST, detail);
    }

    /** Relays the events that were received at once as one part, up to the first one that is not from these weights. */
    private void relayEvents(byte[] content) {
        ByteArrayOutputStream relayed = new ByteArrayOutputStream(content.length);
        boolean fromOtherWeights = false;
        for (String event : events.add(content)) {
            boolean last = event.startsWith(END_MARK);
            fromOtherWeights = !last && !event.contains(fingerprint);
            if (fromOtherWeights) {
                break;
            }
            endMarkSeen = endMarkSeen || last;
            relayed.writeBytes(EventSplitter.bytesOf(event));
        }
        if (relayed.size() > 0 && !reply.sendBodyPart(relayed.toByteArray())) {
            fail(Reason.SLOW_CALLER, "the entry did not accept the response");
        } else if (fromOtherWeights) {
            fail(Reason.BAD_ANSWER, "an event is from other weights");
        }
    }

    private void relayBody(CachedResponse response) {
        boolean fromModel = !fingerprint.isEmpty() && response.status() == OK;
        if (fromModel && !new String(response.body(), StandardCharsets.UTF_8).contains(fingerprint)) {
            fail(Reason.BAD_ANSWER, "the response is from other weights");
            return;
        }
        reply.sendHead(response.status(), response.contentType(), fingerprint);
        reply.sendBodyPart(response.body());
        finish(Verdict.answered(), response);
    }

    private void fail(Reason reason, String detail) {
        finish(Verdict.mayHaveRun(reason, detail), CachedResponse.NONE);
    }

    private void finish(Verdict verdict, CachedResponse response) {
        if (!done.compareAndSet(false, true)) {
            return;
        }
        listener.completed(verdict, response);
        exchange.ifPresent(Exchange::close);
        stopTimer();
    }

    private void stopTimer() {
        timer.ifPresent(running -> running.cancel(false));
    }
}
